package experiment

import "time"

// Result sums up one run. Figures of callers leave out the warm-up; those of endpoints cover the whole run.
type Result struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Requests counts the measured requests, Completed those with a whole answer.
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	// Tokens counts the tokens of whole answers.
	Tokens int `json:"tokens"`
	// FirstToken counts from the scheduled arrival, Interval between two tokens, Orders over whole calls to the plain service.
	FirstToken Quantiles `json:"first_token"`
	Interval   Quantiles `json:"token_interval"`
	Orders     Quantiles `json:"orders"`
	// Stall is the sum over all intervals of what exceeds the stall threshold.
	Stall time.Duration `json:"stall_ns"`
	// Disorder counts parts that a caller got twice, out of order or from another generation.
	Disorder int `json:"disorder"`
	// Errors counts the requests without a whole answer by reason and verdict.
	Errors map[string]int `json:"errors"`
	// Preemptions and ColdExcess are counted by the endpoints.
	Preemptions int64 `json:"preemptions"`
	ColdExcess  int64 `json:"cold_excess"`
	// Repeated counts the unrepeatable calls that ran more than once.
	Repeated int `json:"repeated"`
	// CompletedBySecond counts the whole answers in each second of the load.
	CompletedBySecond []int `json:"completed_by_second"`
}
