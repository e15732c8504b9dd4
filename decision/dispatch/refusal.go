package dispatch

// Refusal says why a request may not be sent now; empty when it may.
type Refusal string

// Refusals.
const (
	NoEndpoint  Refusal = "no_endpoint"
	AllCold     Refusal = "all_endpoints_at_cold_limit"
	AllFull     Refusal = "all_endpoints_full"
	RetryBudget Refusal = "retry_budget_spent"
)
