package explanation

// Endpoint says whether a request may use an endpoint, with the figures that the choice depends on.
type Endpoint struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Version    string `json:"version,omitempty"`
	Usable     bool   `json:"usable"`
	// Reason says why the endpoint may not be used, LeftMS is the remaining time of a pause or an avoidance.
	Reason   string `json:"reason,omitempty"`
	LeftMS   int64  `json:"left_ms,omitempty"`
	InFlight int    `json:"in_flight"`
	Limit    int    `json:"limit"`
	// MemoryTokens is the memory in use; MemoryLimit is what this request may fill, 0 for plain endpoints.
	MemoryTokens int `json:"memory_tokens"`
	MemoryLimit  int `json:"memory_limit"`
	PromptTokens int `json:"prompt_tokens"`
	// Slowdown is 0 if endpoints are not chosen by their speed.
	Slowdown float64 `json:"slowdown"`
	// Scores holds the weighted scores by scorer, Score their sum.
	Scores map[string]float64 `json:"scores"`
	Score  float64            `json:"score"`
}
