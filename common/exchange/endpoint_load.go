package exchange

// EndpointLoad is what an endpoint says about its load in the header of an answer. The zero value says nothing.
type EndpointLoad struct {
	Running, Waiting, Slots int
	// Slowdown is the time that work takes on the endpoint's host at this moment, relative to the usual time; 0 if it is unknown.
	Slowdown float64
}
