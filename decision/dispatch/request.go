package dispatch

// Request is what placement needs to know of a request.
type Request struct {
	Service string
	// PromptTokens and Tokens are the size of the prompt and the expected size of prompt and answer; 0 for plain calls.
	PromptTokens int
	Tokens       int
	// Repeat is set for every arrival after the request's first.
	Repeat bool
	// Resumed is set when the prompt is not computed again.
	Resumed bool
	// Copies is set when the run's memory is copied to the endpoint first, which takes about as long as computing it.
	Copies bool
	// Patient requests rather wait than take an engine on which their memory does not fit.
	Patient bool
	// Spare requests may only take memory that will not be missed.
	Spare bool
	// Free repeats are charged to the retry budget but never refused, since they continue a run.
	Free bool
	// Exclude lists endpoints that must not be chosen.
	Exclude []string
	// Only names the endpoint that must be chosen; empty means any.
	Only string
	// Backup asks for a second endpoint that keeps a copy of the run's memory.
	Backup bool
}

// prefill returns the number of prompt tokens that are computed.
func (r *Request) prefill() int {
	if r.Resumed && !r.Copies {
		return 0
	}
	return r.PromptTokens
}
