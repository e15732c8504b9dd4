// Command standin3 plays the cases of the third review: it starts nodes as separate processes, and stands for the store, the endpoints,
// the operator and the clients. Its argument names the case.
package main
