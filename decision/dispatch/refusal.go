package dispatch

// Refusal is the reason why a request may not be sent now; empty if it may be sent.
type Refusal string

// Reasons for a refusal.
const (
	NoEndpoint       Refusal = "no_endpoint"
	AllEndpointsCold Refusal = "all_endpoints_at_cold_limit"
	AllEndpointsFull Refusal = "all_endpoints_full"
	// AllEndpointsPaused means that all endpoints have asked for no requests for some time or get none because of their limits.
	AllEndpointsPaused Refusal = "all_endpoints_paused"
	// LeftToOthers means that more requests wait than engines have room, and that others try them this time.
	LeftToOthers Refusal = "left_to_others"
	// Overloaded means that so many requests wait that this one can't start in time.
	Overloaded Refusal = "overloaded"
	// CallerGone means that the caller disconnected, or its deadline passed, while the request waited.
	CallerGone  Refusal = "caller_gone"
	RetryBudget Refusal = "retry_budget_spent"
)
