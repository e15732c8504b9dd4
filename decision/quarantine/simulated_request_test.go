package quarantine

import "time"

// simulatedRequest is a request of the simulation.
type simulatedRequest struct {
	node    int
	arrived time.Time
	// deadly is set if the request crashes the engine that begins its answer.
	deadly       bool
	fingerprints []Fingerprint
	// marks are those that the node had when it sent the request.
	marks    []Mark
	reserved []Fingerprint
	engine   *simulatedEngine
}
