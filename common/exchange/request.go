package exchange

import (
	"net/http"
	"net/url"
	"time"
)

// Request is a caller's request. Its body is whole and it is not changed after it was read.
type Request struct {
	ID     string
	Method string
	Host   string
	URL    *url.URL
	// Header holds what is passed on to an endpoint as it came.
	Header http.Header
	Body   []byte
	// Key is the API key; empty when none was sent.
	Key string
	// Received is when the headers arrived. Deadline is when the caller gives up.
	Received time.Time
	Deadline time.Time
	// PromptTokens and MaxTokens are the sizes that the caller states; 0 for plain calls.
	PromptTokens int
	MaxTokens    int
	// LengthHint is the caller's estimate of the output tokens; 0 when there is none.
	LengthHint int
	// LastEvent is the id of the last event that the caller has of a stream that it resumes.
	LastEvent string
}
