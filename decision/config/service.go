package config

import (
	"strings"
	"time"
)

// Service is a group of interchangeable endpoints.
type Service struct {
	Type   ServiceType
	Models []string
	// ColdLimit is the maximum number of concurrent requests on a cold endpoint.
	ColdLimit int
	// WarmAfter is the number of requests that a cold endpoint must complete before ColdLimit no longer applies. 0 means the
	// default.
	WarmAfter int
	// MaxConcurrency is the maximum number of concurrent requests on a warm endpoint.
	MaxConcurrency int
	// Cells is the number of cells in each data centre. It cannot be changed after creation, since two values in force at
	// the same time would give one endpoint two owners.
	Cells int
	// HonoursFencing is set if the endpoints refuse orders with a stale fencing token.
	HonoursFencing bool
	PathRules      []PathRule
	// RequireIdempotencyKey refuses requests that must not be repeated and have no idempotency key.
	RequireIdempotencyKey bool
	// QueueTimeout is the maximum time for which a request waits for an endpoint.
	QueueTimeout time.Duration
}

// Repeatable reports whether a request to a plain service may be sent more than once. The first matching path rule decides;
// without one, only the methods that HTTP defines as idempotent are repeatable.
func (s *Service) Repeatable(method, path string) bool {
	for _, rule := range s.PathRules {
		if (rule.Method == "" || rule.Method == method) && strings.HasPrefix(path, rule.PathPrefix) {
			return rule.Repeatable
		}
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	default:
		return false
	}
}
