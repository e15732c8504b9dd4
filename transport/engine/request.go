package engine

import (
	"net/http"
	"time"
)

// Request describes one request to an endpoint.
type Request struct {
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
	// SendDeadline is the latest time for the first byte. Zero means no limit.
	SendDeadline time.Time
}
