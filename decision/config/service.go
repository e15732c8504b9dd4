package config

import (
	"strings"
	"time"
)

// Service is a group of endpoints that can stand in for each other.
type Service struct {
	Type   ServiceType
	Models []string
	// ColdLimit is the number of requests that an endpoint in a cold start bears at once.
	ColdLimit int
	// WarmAfter is the number of requests that a cold endpoint must complete before it may receive more than ColdLimit at
	// once; 0 takes the default.
	WarmAfter int
	// MaxConcurrency is the number of requests that a warm endpoint bears at once.
	MaxConcurrency int
	// Cells is the number of cells in each data centre. It cannot be changed, since two revisions of it in force at the
	// same time would give one endpoint two owners.
	Cells int
	// HonoursFencing says that the endpoints refuse orders with a stale fencing token.
	HonoursFencing bool
	PathRules      []PathRule
	// RequireIdempotencyKey refuses requests that may not be repeated and have no key.
	RequireIdempotencyKey bool
	// QueueTimeout is the longest time that a request may wait for an endpoint.
	QueueTimeout time.Duration
}

// Repeatable reports whether a request to a plain service may be sent twice: by the first rule that matches, otherwise
// only for the methods that HTTP defines as idempotent.
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
