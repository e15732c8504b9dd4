package quarantine

import "time"

// StoredMark is a mark in the key-value service, as one node sees it.
type StoredMark struct {
	Mark Mark
	// Age is the time since the node first saw this entry.
	Age time.Duration
}
