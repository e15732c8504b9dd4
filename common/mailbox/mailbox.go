// Package mailbox provides the bounded message queue of a task.
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

// Send waits until the queue has room for the message. If ctx ends first, Send returns the error of ctx.
func (b Mailbox[M]) Send(ctx context.Context, m M) error {
	select {
	case b.messages <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TrySend queues the message without waiting, and reports whether the queue had room for it.
func (b Mailbox[M]) TrySend(m M) bool {
	select {
	case b.messages <- m:
		return true
	default:
		return false
	}
}

// Receive returns the channel from which the owning task receives messages.
func (b Mailbox[M]) Receive() <-chan M { return b.messages }

// Len returns the number of queued messages.
func (b Mailbox[M]) Len() int { return len(b.messages) }
