package admission

// State is the condition of an endpoint.
type State uint8

// States of an endpoint.
const (
	// Unknown endpoints have not sent a load report since this owner took over; they get no work.
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
)

// String returns the name that operators see.
func (s State) String() string {
	return [...]string{"unknown", "cold", "warming", "warm", "suspect", "leaving"}[s]
}
