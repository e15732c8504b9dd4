package limit

// Limits are the limits of a workspace on one node; 0 means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	MaxConcurrency    int
}

// Share returns the part of the limits for each of several nodes. Each node allows at least one concurrent request, so
// with more nodes than MaxConcurrency the sum over the nodes exceeds it.
func (l Limits) Share(nodes int) Limits {
	n := max(nodes, 1)
	shared := Limits{RequestsPerSecond: l.RequestsPerSecond / float64(n), TokensPerSecond: l.TokensPerSecond / float64(n)}
	if l.MaxConcurrency > 0 {
		shared.MaxConcurrency = max(1, l.MaxConcurrency/n)
	}
	return shared
}
