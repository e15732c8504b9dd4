// Package routing decides to which cell a placement request is sent. It has no I/O and no clock.
package routing
