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

// newRequest builds the HTTP request of a Start.
func (c *Client) newRequest(ctx context.Context, s Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, s.Method, c.url(s.Address, s.Path),
		nonRewindableReader{bytes.NewReader(s.Body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(s.Body))
	for name, values := range s.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderRequestID, s.RequestID)
	req.Header.Set(HeaderFence, strconv.FormatUint(s.Fence, 10))
	req.Header.Set(HeaderPriority, strconv.Itoa(s.Priority))
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
