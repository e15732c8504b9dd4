package harness

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers that callers of an EdgeSite send or read.
const (
	headerRequestID     = "X-Request-Id"
	headerAuthorization = "Authorization"
	headerDeadline      = "X-Deadline-Ms"
	headerSignature     = "X-Server-Signature"
	headerPromptParts   = "X-Prompt-Prefix"
	headerLengthHint    = "X-Length-Hint"
	headerLastEvent     = "Last-Event-Id"
)

// SetEdgeAPIKey sets the API key of a request.
func SetEdgeAPIKey(req *http.Request, key string) { req.Header.Set(headerAuthorization, "Bearer "+key) }

// SetEdgeDeadline sets the header with the time that the caller waits for the answer, in milliseconds.
func SetEdgeDeadline(req *http.Request, d time.Duration) {
	req.Header.Set(headerDeadline, strconv.FormatInt(d.Milliseconds(), 10))
}

// SetEdgeLengthHint sets the caller's estimate of the number of output tokens.
func SetEdgeLengthHint(req *http.Request, tokens int) {
	req.Header.Set(headerLengthHint, strconv.Itoa(tokens))
}

// SetEdgeLastEvent sets the id of the last event that the caller has received.
func SetEdgeLastEvent(req *http.Request, id string) { req.Header.Set(headerLastEvent, id) }

// SetEdgePromptParts sets the parts of a request's prompt, each as its id, a colon and its size in tokens.
func SetEdgePromptParts(req *http.Request, parts ...string) {
	req.Header.Set(headerPromptParts, strings.Join(parts, ","))
}

// HasEdgePromptPart reports whether a request's prompt contains the part with the given id.
func HasEdgePromptPart(req *http.Request, id string) bool {
	for _, part := range strings.Split(req.Header.Get(headerPromptParts), ",") {
		if strings.HasPrefix(part, id+":") {
			return true
		}
	}
	return false
}

// EdgeSignature returns the signature of the worker that answered. It is empty if the node itself answered.
func EdgeSignature(resp *http.Response) string { return resp.Header.Get(headerSignature) }

// EdgeRequestID returns the request id in the response header.
func EdgeRequestID(resp *http.Response) string { return resp.Header.Get(headerRequestID) }
