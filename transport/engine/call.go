package engine

import (
	"context"
	"io"

	"github.com/zeebo/errs"
)

// maxAnswerBytes bounds the body of a plain service's answer.
const maxAnswerBytes = 16 << 20

// Call sends a request to a plain service and returns the complete answer, whatever its status. The error is a *Failure.
func (c *Client) Call(ctx context.Context, r Request) (Answer, error) {
	guard := &sendGuard{deadline: r.SendDeadline}
	req, err := c.newHTTPRequest(ctx, r)
	if err != nil {
		return Answer{}, &Failure{Err: err}
	}
	resp, err := c.sendRequest(req, guard)
	if err != nil {
		return Answer{}, &Failure{Sent: guard.sent.Load(), Err: guard.cause(err)}
	}
	if resp.Header.Get(HeaderRefused) != "" {
		return Answer{}, newStatusFailure(resp)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, &Failure{Sent: true, Status: resp.StatusCode, Err: err}
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, &Failure{
			Sent: true, Status: resp.StatusCode, Err: errs.New("answer is over %d bytes", maxAnswerBytes),
		}
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
