// Package mailbox provides the bounded message channel through which every task is reached.
package mailbox

import "context"

// Mailbox is a bounded queue of messages for one task. Any goroutine may send; only the owning task receives.
type Mailbox[M any] struct {
	messages chan M
}

// New returns a mailbox that holds at most capacity messages.
func New[M any](capacity int) Mailbox[M] {
	return Mailbox[M]{messages: make(chan M, capacity)}
}

// Send waits for room until ctx ends, and then returns the error of ctx.
func (b Mailbox[M]) Send(ctx context.Context, m M) error {
	select {
	case b.messages <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TrySend reports whether there was room for the message.
func (b Mailbox[M]) TrySend(m M) bool {
	select {
	case b.messages <- m:
		return true
	default:
		return false
	}
}

// Receive returns the channel that the owning task reads.
func (b Mailbox[M]) Receive() <-chan M { return b.messages }

// Len returns the number of waiting messages.
func (b Mailbox[M]) Len() int { return len(b.messages) }
