package admission

// State is the condition of an endpoint.
type State uint8

// States of an endpoint.
const (
	// Unknown endpoints receive no work, since no load report has been taken since this owner became active.
	Unknown State = iota
	// Cold endpoints run at most the cold limit.
	Cold
	// Warming endpoints have completed work since they were cold; each completion counts towards a higher limit.
	Warming
	// Warm endpoints run at most the maximum concurrency.
	Warm
	// Suspect endpoints are late or unreachable; they receive only single probes.
	Suspect
	// Leaving endpoints are shutting down and receive no new work.
	Leaving
	// Gone endpoints are off the host list and have no charged work left.
	Gone
)

// States lists all states in the order of their values.
var States = [...]State{Unknown, Cold, Warming, Warm, Suspect, Leaving, Gone}

// String returns the name shown to operators.
func (s State) String() string {
	return [...]string{"unknown", "cold", "warming", "warm", "suspect", "leaving", "gone"}[s]
}
