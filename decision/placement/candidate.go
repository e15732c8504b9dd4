package placement

// Candidate holds the properties of an endpoint that placement depends on. Its owner updates it between decisions.
type Candidate struct {
	ID string
	// Slot is the number of the endpoint in the PrefixIndex.
	Slot int
	// Admits is set when the endpoint's state and limit allow one more request.
	Admits bool
	// Alone is set while the endpoint runs a request that must run alone.
	Alone bool
	// InFlight is the number of requests in flight, Limit its maximum.
	InFlight, Limit int
	// Models lists the loaded models; empty if the endpoint doesn't report them.
	Models []string
	// Capacity is the size of the endpoint's memory in tokens; 0 when it is unknown.
	Capacity float64
	// Memory is the expected memory of the tracked requests, whose lengths are known.
	Memory Forecast
	// UntrackedMemory is the memory in tokens beyond that of the tracked requests, as shown by load reports.
	UntrackedMemory float64
	// Prefill is the number of prompt tokens of the tracked requests that have no output token yet.
	Prefill int
	// StepModel predicts the time between tokens; nil if there is no prediction.
	StepModel *StepModel
	// Failures is the fraction of recent requests that failed on the endpoint, from 0 to 1.
	Failures float64
	// Slowdown is the time that work takes on the endpoint, relative to the usual time; 0 if it is unknown.
	Slowdown float64
	// EventInterval is the expected time in seconds between two events of a run that is placed now, Slowdown included, and
	// UsualInterval the usual one over all endpoints; both are 0 if they are unknown.
	EventInterval, UsualInterval float64
	// PromptTokenTime is the expected time in seconds for one prompt token, Slowdown included; 0 if it is unknown.
	PromptTokenTime float64
	// AnswerTime is the usual time in seconds of a plain call; 0 if it is unknown.
	AnswerTime float64
	// CachedTokens is the expected number of the request's prompt tokens that the endpoint need not compute. It differs by request.
	CachedTokens float64
	// Nearby is set if the endpoint is in the data centre of this node.
	Nearby bool
}
