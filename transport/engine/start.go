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
	// RequestID names the generation.
	RequestID string
	Fence     uint64
	Priority  int
	// Latest is the last moment for the first byte; zero means no limit.
	Latest time.Time
}
