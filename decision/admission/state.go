package admission

// State is the condition of an endpoint.
type State uint8

// States of an endpoint.
const (
	// Unknown endpoints have no load report that was taken since this owner may admit; they get no work.
	Unknown State = iota
	// Cold endpoints bear at most the cold limit.
	Cold
	// Warming endpoints have completed work since they were cold; their limit grows with it.
	Warming
	// Warm endpoints bear the maximum concurrency.
	Warm
	// Suspect endpoints are late or failed to connect; they get no work but single probes.
	Suspect
	// Leaving endpoints are shutting down; they get no new work.
	Leaving
	// Gone endpoints are off the host list and run nothing that is still charged.
	Gone
)

// States lists all states in their order.
var States = [...]State{Unknown, Cold, Warming, Warm, Suspect, Leaving, Gone}

// String returns the name that operators see.
func (s State) String() string {
	return [...]string{"unknown", "cold", "warming", "warm", "suspect", "leaving", "gone"}[s]
}
