package etcd

import (
	"context"
	"time"
)

// read makes a call that does not change the store, and tries the endpoints in turn. The timeout of an attempt is the
// remaining time divided by the number of endpoints that are left, so that an unresponsive server does not use up the time
// for the others.
func read[R any](ctx context.Context, c *Client, call func(ctx context.Context, e endpoint) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var (
		result  R
		lastErr error
	)
	c.tryEndpoints(ctx, func(e endpoint, left int) attemptResult {
		deadline, _ := ctx.Deadline()
		attemptCtx, cancel := context.WithTimeout(ctx, time.Until(deadline)/time.Duration(left))
		defer cancel()
		r, err := call(attemptCtx, e)
		if err != nil {
			lastErr = readError(err)
			return readAttemptResult(lastErr)
		}
		result, lastErr = r, nil
		return attemptAnswered
	})
	return result, lastErr
}
