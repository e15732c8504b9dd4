package exchange

import (
	"io"
	"net/http"
)

// Answer is the answer of an endpoint to a request.
type Answer struct {
	Status int
	// Header holds the headers that are forwarded to the caller.
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of Body in bytes, or -1 when it is not known.
	Length int64
	// Load is the load that the endpoint stated.
	Load EndpointLoad
}

// Successful reports whether the status is 2xx.
func (a *Answer) Successful() bool { return a.Status >= 200 && a.Status < 300 }
