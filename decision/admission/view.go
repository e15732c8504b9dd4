package admission

// View shows a cell to operators.
type View struct {
	Cell      string
	Fence     uint64
	Queued    map[string]int
	Endpoints []EndpointView
	Counts    Counts
}
