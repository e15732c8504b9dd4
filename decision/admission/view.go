package admission

// View is the state of a cell as shown to operators.
type View struct {
	Cell      string
	Fence     uint64
	Queued    map[string]int
	Endpoints []EndpointView
	Counts    Counts
}
