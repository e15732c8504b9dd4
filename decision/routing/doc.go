// Package routing decides which cell is asked for a placement. It has no I/O and no clock.
package routing
