// Package limit decides whether a workspace may start a request, and whether a node may send one to an endpoint that limits the
// requests of all nodes together. It has no I/O and no clock.
package limit
