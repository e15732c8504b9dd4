package plainservice

// Call is a call that the service ran. The service answers with its JSON.
type Call struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key"`
	Body      string `json:"body"`
	RequestID string `json:"request_id"`
	// Number is the number of the call among those that were run, starting at 1.
	Number int64 `json:"number"`
	// Padding increases the size of the answer.
	Padding string `json:"padding,omitempty"`
}
