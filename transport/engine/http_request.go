package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
)

// maxErrorBodyBytes bounds the body that is read from an answer with a status other than 200.
const maxErrorBodyBytes = 64 << 10

// newHTTPRequest builds the HTTP request for r.
func (c *Client) newHTTPRequest(ctx context.Context, r Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, c.url(r.Address, r.Path),
		nonRewindableReader{bytes.NewReader(r.Body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderRequestID, r.RequestID)
	req.Header.Set(HeaderFence, strconv.FormatUint(r.Fence, 10))
	req.Header.Set(HeaderPriority, strconv.Itoa(r.Priority))
	return req, nil
}

// newStatusFailure returns the Failure of an answer that was refused or has a status other than 200. It closes the body.
func newStatusFailure(resp *http.Response) *Failure {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	return &Failure{
		Sent: true, Status: resp.StatusCode, Body: body, Refused: resp.Header.Get(HeaderRefused), Err: err,
	}
}
