package httpclient

import (
	"fmt"
	"net/http"
)

const (
	// minStatus is the lowest status of a final answer. net/http skips those below, except 101, which answers requests for another
	// protocol and azuredyke makes none.
	minStatus = http.StatusOK
	// maxStatus is the highest status of RFC 9110, section 15.
	maxStatus = 599
)

// Checker is an http.RoundTripper that returns an error for answers that net/http takes although their head is broken. Such an answer says
// nothing about the outcome of its request.
type Checker struct {
	next http.RoundTripper
}

// NewChecker returns a checker of the answers of next.
func NewChecker(next http.RoundTripper) *Checker { return &Checker{next: next} }

// RoundTrip implements http.RoundTripper.
func (c *Checker) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := c.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		// Closing the body before its end also closes the connection.
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// checkHead returns an error if the head of an answer is broken.
func checkHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return fmt.Errorf("invalid status %q in the answer", response.Status)
	}
	return nil
}
