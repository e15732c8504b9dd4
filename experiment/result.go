package experiment

import "time"

// Result holds the measurements of one run. Figures from callers exclude requests that arrive during the warm-up, except
// for SequenceErrors and CompletedBySecond. Figures from endpoints cover the whole run.
type Result struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Requests counts the measured requests, and Completed those with a complete response.
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	// Tokens counts the output tokens in complete responses.
	Tokens int `json:"tokens"`
	// FirstToken is measured from the scheduled arrival to the first token, TokenInterval between consecutive tokens, and
	// OrderLatency from the scheduled arrival to the end of complete responses of the plain service.
	FirstToken    Quantiles `json:"first_token"`
	TokenInterval Quantiles `json:"token_interval"`
	OrderLatency  Quantiles `json:"orders"`
	// StallTime is the sum of the excess of each token interval over the stall threshold.
	StallTime time.Duration `json:"stall_ns"`
	// SequenceErrors counts stream events that a caller received twice, out of order or from another generation.
	SequenceErrors int `json:"disorder"`
	// Errors counts the measured requests without a complete response, by reason and verdict.
	Errors map[string]int `json:"errors"`
	// Preemptions counts the preempted sequences at the engines, and ColdExcess the requests beyond the cold limit of an
	// engine.
	Preemptions int64 `json:"preemptions"`
	ColdExcess  int64 `json:"cold_excess"`
	// RepeatedCalls counts the unrepeatable calls that ran more than once.
	RepeatedCalls int `json:"repeated"`
	// CompletedBySecond counts the complete responses in each second of the load, warm-up included.
	CompletedBySecond []int `json:"completed_by_second"`
}
