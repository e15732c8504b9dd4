// Package limit decides whether a workspace may start a request. It has no I/O and no clock.
package limit
