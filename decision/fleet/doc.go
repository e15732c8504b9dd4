// Package fleet holds a node's view of the configuration, the data centres that are out, and the endpoints. It has no I/O
// and no clock: callers apply changes with the current time, and read snapshots.
package fleet
