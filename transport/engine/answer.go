package engine

import "net/http"

// Answer is the complete HTTP response of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}
