package soak

// injectedFault is a fault that was injected, with its actual times.
type injectedFault struct {
	fault
	interval
	// workerID is the id of the affected worker; empty for faults of other scopes.
	workerID string
}
