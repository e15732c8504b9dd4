package main

import "net/http"

// bearer adds the operator token to each request.
type bearer struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	if b.token != "" {
		r.Header.Set("Authorization", "Bearer "+b.token)
	}
	return b.next.RoundTrip(r)
}
