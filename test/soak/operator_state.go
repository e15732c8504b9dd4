package soak

import "time"

// operatorState holds the keys and routes that operators have configured. Values are immutable; callers read the latest one.
type operatorState struct {
	// keys holds the configured keys, oldest first. The first key is permanent.
	keys []string
	// revoked holds the times at which the revocations of keys were acknowledged.
	revoked map[string]time.Time
	// added holds the added routes that have not been dropped.
	added []string
	// addedAt and droppedAt hold the times at which the changes of routes were acknowledged.
	addedAt, droppedAt map[string]time.Time
	// lastNumber counts the changes, so that each key and route has a unique name.
	lastNumber int
}
