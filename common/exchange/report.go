package exchange

// Report is what an endpoint says of itself.
type Report struct {
	// Leaving is set once the endpoint has been told to end.
	Leaving bool
}
