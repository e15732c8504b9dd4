package engine

import (
	"net/http"
	"time"
)

// Start describes one request to an endpoint.
type Start struct {
	// Address is host:port.
	Address string
	Method  string
	// Path includes the query.
	Path   string
	Body   []byte
	Header http.Header
	// RequestID identifies the generation.
	RequestID string
	Fence     uint64
	Priority  int
	// Latest is the latest time for the first byte. Zero means no limit.
	Latest time.Time
}
