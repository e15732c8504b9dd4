// Package stream decides which parts of a generation reach the caller, and when a generation counts as stalled or whole.
// It has no I/O and no clock.
package stream
