// Package limit decides whether a workspace may start one more request. It has no I/O and no clock.
package limit
