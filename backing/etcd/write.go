package etcd

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"azuredyke.dev/azuredyke/backing"
)

// write makes a call that may have an effect. The next endpoint is tried only while it is certain that nothing was sent.
func write[R any](ctx context.Context, c *Client, call func(ctx context.Context, e endpoint) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var (
		result R
		last   error
	)
	c.inTurn(ctx, func(e endpoint, _ int) attemptResult {
		attemptCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		attemptCtx, sent := traceSent(attemptCtx)
		r, err := call(attemptCtx, e)
		switch {
		case err == nil:
			result, last = r, nil
			return attemptAnswered
		case sent.Load():
			last = writeError(err)
			if backing.ErrUnknownOutcome.Has(last) {
				return attemptLost
			}
			return attemptAnswered
		default:
			last = backing.ErrUnavailable.Wrap(err)
			return attemptFailed
		}
	})
	return result, last
}

// traceSent returns a context whose HTTP request sets the flag once its headers were written. The body, without which a
// server cannot execute a call, is written after the headers, so a call that failed without the flag had no effect.
func traceSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}), sent
}
