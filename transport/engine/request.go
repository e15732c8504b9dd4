package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
)

// maxErrorBody bounds what is kept of an answer other than 200.
const maxErrorBody = 64 << 10

// newRequest builds the HTTP request of a Start.
func (c *Client) newRequest(ctx context.Context, s Start) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, s.Method, c.url(s.Address, s.Path), onceReader{bytes.NewReader(s.Body)})
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

// statusFailure reads an answer other than 200. It closes the body.
func statusFailure(resp *http.Response) *Failure {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	return &Failure{
		Sent: true, Status: resp.StatusCode, Body: body, Refused: resp.Header.Get(HeaderRefused), Err: err,
	}
}
