package exchange

import (
	"io"
	"net/http"
)

// Answer is what an endpoint answered.
type Answer struct {
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	Body   io.ReadCloser
	// Length is -1 when it is not known.
	Length int64
}

// Successful reports whether the endpoint ran the request with success.
func (a *Answer) Successful() bool { return a.Status >= 200 && a.Status < 300 }
