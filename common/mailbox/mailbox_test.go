package mailbox

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a mailbox that exceeds its capacity, and against a TrySend that blocks.
func TestTrySendStopsAtCapacity(t *testing.T) {
	b := New[int](2)
	assert.Assert(t, b.TrySend(1))
	assert.Assert(t, b.TrySend(2))
	assert.Assert(t, !b.TrySend(3))
	assert.Equal(t, <-b.Receive(), 1)
	assert.Assert(t, b.TrySend(3))
}

// Guards against a call that blocks forever when the receiving task has ended.
func TestCallEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	b := New[chan<- int](1)
	cancel()
	_, err := Call(ctx, b, func(reply chan<- int) chan<- int { return reply })
	assert.ErrorIs(t, err, context.Canceled)
}
