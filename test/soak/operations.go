package soak

import "time"

// operations is what operators have put in force. Values are immutable; callers read the newest.
type operations struct {
	// keys are those that the configuration has, oldest first; the first one of all stays.
	keys []string
	// revoked holds when the change that took a key away was acknowledged.
	revoked map[string]time.Time
	// added are the routes that were added and are in force.
	added []string
	// addedAt and droppedAt hold the acknowledgements of their changes.
	addedAt, droppedAt map[string]time.Time
	// numbers counts keys and routes, so that each has a name of its own.
	numbers int
}
