package harness

import (
	"net/http"
	"strconv"
	"time"
)

// Headers that callers of an EdgeSite send or read.
const (
	headerRequestID     = "X-Request-Id"
	headerAuthorization = "Authorization"
	headerDeadline      = "X-Deadline-Ms"
	headerSignature     = "X-Server-Signature"
)

// SetEdgeAPIKey sets the API key of a request.
func SetEdgeAPIKey(req *http.Request, key string) { req.Header.Set(headerAuthorization, "Bearer "+key) }

// SetEdgeDeadline sets the header with the time that the caller waits for the answer, in milliseconds.
func SetEdgeDeadline(req *http.Request, d time.Duration) {
	req.Header.Set(headerDeadline, strconv.FormatInt(d.Milliseconds(), 10))
}

// EdgeSignature returns the signature of the worker that answered. It is empty if the node itself answered.
func EdgeSignature(resp *http.Response) string { return resp.Header.Get(headerSignature) }

// EdgeRequestID returns the request id in the response header.
func EdgeRequestID(resp *http.Response) string { return resp.Header.Get(headerRequestID) }
