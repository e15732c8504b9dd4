package exchange

// Report is the state that an endpoint reports.
type Report struct {
	// Leaving is set once the endpoint has been asked to shut down.
	Leaving bool
}
