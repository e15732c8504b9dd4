package placement

// Candidate is an endpoint as placement sees it. Its owner keeps it up to date between decisions.
type Candidate struct {
	ID string
	// Slot numbers the endpoint in the PrefixIndex.
	Slot int
	// Admits is set when the endpoint's state and limit allow one more request.
	Admits bool
	// Alone is set while the endpoint runs a request that must run alone.
	Alone bool
	// InFlight and Limit count requests.
	InFlight, Limit int
	// Models lists the loaded models; empty means that the endpoint does not say.
	Models []string
	// Capacity is the size of the endpoint's memory in tokens; 0 when it is unknown.
	Capacity float64
	// Memory is the expected memory of the requests whose lengths are known.
	Memory Forecast
	// Other is the memory in tokens that the load report shows beyond that of the known requests.
	Other float64
	// Prefill is the number of prompt tokens of the known requests that have no output token yet.
	Prefill int
	// Steps predicts the time between tokens; nil when it is unknown.
	Steps *StepModel
	// Failures is the share of recent requests that the endpoint failed, from 0 to 1.
	Failures float64
	// Nearby is set for endpoints in the data centre of this node.
	Nearby bool
}
