package dispatch

import (
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/overload"
	"azuredyke.dev/azuredyke/decision/placement"
	"azuredyke.dev/azuredyke/decision/prefix"
	"azuredyke.dev/azuredyke/decision/rollout"
)

// Request holds the properties of a request that placement depends on.
type Request struct {
	Service string
	// Workspace is the workspace of the caller; empty if there is none.
	Workspace string
	// PromptTokens is the size of the prompt, Tokens the expected size of prompt and answer together; both are 0 for plain
	// calls.
	PromptTokens int
	Tokens       int
	// Prompt holds the beginnings of the prompt; empty if its parts are unknown.
	Prompt prefix.Chain
	// Repeat is set for every arrival of the request after its first.
	Repeat bool
	// Resumed is set when the request continues a run whose prompt is not computed again.
	Resumed bool
	// CopyPending is set when the run's memory is first copied to the endpoint, which takes about as long as computing the prompt.
	CopyPending bool
	// SourceDataCentre is the data centre from which the run's memory is copied; empty if it is not known.
	SourceDataCentre string
	// RequireMemoryFit is set when the request should be refused rather than placed on an engine on which its memory does not fit.
	RequireMemoryFit bool
	// SpareMemoryOnly limits the request to memory that is not reserved for new runs.
	SpareMemoryOnly bool
	// ForceRepeat is set for repeats that continue a run: they are charged to the retry budget but never refused by it.
	ForceRepeat bool
	// Exclude lists endpoints that must not be chosen.
	Exclude []string
	// AvoidRateLimited keeps the request from endpoints that limit the requests of all nodes.
	AvoidRateLimited bool
	// RequiredEndpoint names the endpoint that must be chosen; empty means any.
	RequiredEndpoint string
	// Priority orders requests, 0 first. FirstEventBy is the time at which the objective for the first event ends; zero if there is
	// none. Both count only for ordered admission.
	Priority     int
	FirstEventBy time.Time
	// MoreUrgent is the demand of more urgent requests that wait for the service, to which this one leaves room.
	MoreUrgent overload.MoreUrgent
	// LeavesAllRoom is set if the request leaves room for those on every engine, not only on as many as they need.
	LeavesAllRoom bool
	// Contenders is the number of waiting requests, this one included, that may see the same free memory and are not less urgent.
	Contenders int
	// WithoutLimits is set when the request may no longer wait: it goes to an engine that queues it if it fits on none.
	WithoutLimits bool
	// Backup asks for a second endpoint that holds a copy of the run's memory.
	Backup bool
	// Group is the group of the run that a resumed request continues.
	Group rollout.Group
}

// mayUse reports whether the request may run on an endpoint, now or once the endpoint accepts requests again.
func (r *Request) mayUse(e *endpoint) bool { return r.lastingObstacle(e) == "" }

// lastingObstacle returns the obstacle that lasts for as long as the request.
func (r *Request) lastingObstacle(e *endpoint) Obstacle {
	if o := e.lastingObstacle(); o != "" {
		return o
	}
	if r.RequiredEndpoint != "" && e.ID != r.RequiredEndpoint || slices.Contains(r.Exclude, e.ID) {
		return Excluded
	}
	return ""
}

// query returns the request as the placement policies see it.
func (r *Request) query() *placement.Request {
	return &placement.Request{
		PromptTokens: r.PromptTokens, OutputTokens: r.Tokens - r.PromptTokens, Copy: r.CopyPending, Memory: placement.FlatForecast(float64(r.Tokens)),
	}
}

// isLong reports whether the run holds its memory for long.
func (r *Request) isLong() bool { return r.Tokens-r.PromptTokens > longOutputTokens }

// prefill returns the number of prompt tokens that the endpoint computes or copies.
func (r *Request) prefill() int {
	if r.Resumed && !r.CopyPending {
		return 0
	}
	return r.PromptTokens
}
