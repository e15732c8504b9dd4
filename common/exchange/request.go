package exchange

import (
	"net/http"
	"net/url"
	"time"
)

// Request is a caller's request with its complete body. It is immutable.
type Request struct {
	ID     string
	Method string
	Host   string
	URL    *url.URL
	// Header holds the headers that are forwarded to an endpoint unchanged.
	Header http.Header
	Body   []byte
	// APIKey is the API key; it is empty when the caller sent none.
	APIKey string
	// Received is the arrival time of the headers. Deadline is the time until which the caller waits.
	Received time.Time
	Deadline time.Time
	// PromptTokens and MaxTokens are the sizes that the caller states; they are 0 for plain services.
	PromptTokens int
	MaxTokens    int
	// LengthHint is the caller's estimate of the number of output tokens; 0 means no estimate.
	LengthHint int
	// SharedParts holds the ids of the parts of the prompt that other requests may contain too, in the order of the prompt.
	SharedParts []string
	// PromptParts holds all parts of the prompt in order; the last one belongs to the request or its session.
	PromptParts []PromptPart
	// LastEvent is the id of the last event that the caller received from a stream that it resumes.
	LastEvent string
}
