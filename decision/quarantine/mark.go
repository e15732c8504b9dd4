package quarantine

import "time"

// Mark is what is known about one request. Marks are merged by the union of their crashes, so the order and the number of
// times in which they arrive do not matter.
type Mark struct {
	Fingerprint Fingerprint
	// Crashes names the crashes, at most as many as prove a request.
	Crashes []CrashID
	// Remaining is how long the mark stays valid; clocks of two nodes are never compared.
	Remaining time.Duration
}
