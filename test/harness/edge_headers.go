package harness

import (
	"net/http"
	"strconv"
	"time"
)

// Headers that callers of an EdgeSite send or read.
const (
	headerRequestID = "X-Request-Id"
	headerKey       = "Authorization"
	headerDeadline  = "X-Deadline-Ms"
	headerSignature = "X-Server-Signature"
)

// SetEdgeKey sets the key of a request.
func SetEdgeKey(req *http.Request, key string) { req.Header.Set(headerKey, "Bearer "+key) }

// SetEdgeDeadline sets how long the caller waits.
func SetEdgeDeadline(req *http.Request, d time.Duration) {
	req.Header.Set(headerDeadline, strconv.FormatInt(d.Milliseconds(), 10))
}

// EdgeSignature returns the signature of the worker that answered; empty for answers of a node.
func EdgeSignature(resp *http.Response) string { return resp.Header.Get(headerSignature) }

// EdgeRequestID returns the id of the request that an answer is for.
func EdgeRequestID(resp *http.Response) string { return resp.Header.Get(headerRequestID) }
