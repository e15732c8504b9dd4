package mailbox

import "context"

// Call sends the message that build makes for a reply channel, and waits for the reply until ctx ends.
// The reply channel has room for one value, so the answering task never blocks on a caller that gave up.
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
