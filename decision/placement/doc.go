// Package placement chooses the endpoint of a request: filters exclude endpoints, scorers rate the others and a picker
// takes one. It also predicts output lengths, memory and the time between tokens. It has no I/O and no clock.
package placement
