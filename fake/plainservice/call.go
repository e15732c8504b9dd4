package plainservice

// Call is one call that the service ran. Its JSON is the answer.
type Call struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key"`
	Body      string `json:"body"`
	RequestID string `json:"request_id"`
	// Number counts the calls that were run, from 1.
	Number int64 `json:"number"`
	// Padding fills the answer up.
	Padding string `json:"padding,omitempty"`
}
