package etcd

import (
	"context"
	"time"
)

// read makes a call without effect at the endpoints in turn. Each attempt gets an equal share of the time that is left,
// so that a server that does not answer leaves time for the others.
func read[R any](ctx context.Context, c *Client, call func(ctx context.Context, e endpoint) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var (
		result R
		last   error
	)
	c.inTurn(ctx, func(e endpoint, left int) attemptResult {
		deadline, _ := ctx.Deadline()
		attemptCtx, cancel := context.WithTimeout(ctx, time.Until(deadline)/time.Duration(left))
		defer cancel()
		r, err := call(attemptCtx, e)
		if err != nil {
			last = readError(err)
			return afterRead(last)
		}
		result, last = r, nil
		return attemptAnswered
	})
	return result, last
}
