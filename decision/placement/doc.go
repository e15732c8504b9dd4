// Package placement chooses the endpoint for a request: filters exclude endpoints, scorers rate the remaining ones and a
// picker selects one. The package also predicts output lengths, memory and the time between tokens. It does no I/O and reads no
// clock.
package placement
