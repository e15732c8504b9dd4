package mailbox

import "context"

// Call sends the message that build returns for a reply channel, and waits for the reply until ctx ends. The reply channel
// has a buffer of one, so the receiving task never blocks when the caller has stopped waiting.
func Call[M, R any](ctx context.Context, b Mailbox[M], build func(reply chan<- R) M) (R, error) {
	reply := make(chan R, 1)
	var none R
	if err := b.Send(ctx, build(reply)); err != nil {
		return none, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
