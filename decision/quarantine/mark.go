package quarantine

import "time"

// Mark lists the crashes attributed to one request. Marks are merged by the union of their crashes, so the order of
// arrival and duplicates have no effect.
type Mark struct {
	Fingerprint Fingerprint
	// Crashes contains at most the number of crashes that quarantine a request.
	Crashes []CrashID
	// Remaining is the time for which the mark stays valid. It is a duration, so that the clocks of two nodes are never
	// compared.
	Remaining time.Duration
}
