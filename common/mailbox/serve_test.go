package mailbox

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a task that misses messages or ticks, or goes on after its context has ended.
func TestServeHandlesMessagesAndTicksUntilItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		b, start := New[string](4), time.Now()
		var messages []string
		var ticks []time.Duration
		assert.Assert(t, b.TrySend("a"))
		time.AfterFunc(1500*time.Millisecond, func() { b.TrySend("b") })
		Serve(ctx, b, time.Second, func(m string) { messages = append(messages, m) },
			func(now time.Time) { ticks = append(ticks, now.Sub(start)) })
		assert.DeepEqual(t, messages, []string{"a", "b"})
		assert.DeepEqual(t, ticks, []time.Duration{time.Second, 2 * time.Second})
		assert.Equal(t, time.Since(start), 2500*time.Millisecond)
	})
}
