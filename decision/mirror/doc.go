// Package mirror keeps a node's copy of one prefix of the key-value service, fed by the service itself and by other nodes
// that heard from it later.
//
// Every change carries the revision of the service, which is one counter for all keys, so the newer of two changes of a
// key is known whatever way it came.
package mirror
