// Package stream decides which parts of a generation are delivered to the caller, and when a generation is stalled or
// complete. It has no I/O and no clock.
package stream
