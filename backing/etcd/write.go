package etcd

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"azuredyke.dev/azuredyke/backing"
)

// write makes a call that may change the store. It tries another endpoint only if no earlier attempt can have had an effect.
func write[R any](ctx context.Context, c *Client, call func(ctx context.Context, e endpoint) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var (
		result  R
		lastErr error
	)
	c.tryEndpoints(ctx, func(e endpoint, _ int) attemptResult {
		attemptCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		attemptCtx, sent := traceSent(attemptCtx)
		r, err := call(attemptCtx, e)
		switch {
		case err == nil:
			result, lastErr = r, nil
			return attemptAnswered
		case sent.Load():
			lastErr = writeError(err)
			if backing.ErrUnknownOutcome.Has(lastErr) {
				return attemptUnknown
			}
			return attemptAnswered
		default:
			lastErr = backing.ErrUnavailable.Wrap(err)
			return attemptFailed
		}
	})
	return result, lastErr
}

// traceSent returns a context and a flag that is set when an HTTP request with the context has written its headers. The body
// follows the headers, and a server cannot execute a call without the body. So a call that failed without the flag had no
// effect.
func traceSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}), sent
}
