package engine

import (
	"context"
	"io"

	"github.com/zeebo/errs"
)

// maxAnswer bounds the answer of a plain service.
const maxAnswer = 16 << 20

// Call sends a request to a plain service and returns its whole answer, whatever its status. The error is a *Failure.
func (c *Client) Call(ctx context.Context, start Start) (Answer, error) {
	g := &gate{latest: start.Latest}
	req, err := c.newRequest(ctx, start)
	if err != nil {
		return Answer{}, &Failure{Err: err}
	}
	resp, err := c.do(req, g)
	if err != nil {
		return Answer{}, &Failure{Sent: g.sent.Load(), Err: err}
	}
	if resp.Header.Get(HeaderRefused) != "" {
		return Answer{}, statusFailure(resp)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return Answer{}, &Failure{Sent: true, Status: resp.StatusCode, Err: err}
	}
	if len(body) > maxAnswer {
		return Answer{}, &Failure{Sent: true, Status: resp.StatusCode, Err: errs.New("answer is over %d bytes", maxAnswer)}
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
