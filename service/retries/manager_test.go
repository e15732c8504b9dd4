package retries

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

// Guards against one workspace spending the retry budget of another, against idle budgets that are never removed, and against
// a task that outlives its context.
func TestBudgetsAreSeparateAndExpire(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := NewManager()
		go m.Run(ctx)
		a, b := Key{Service: "notes", Workspace: "a"}, Key{Service: "notes", Workspace: "b"}
		assert.Assert(t, m.Allow(ctx, a))
		assert.Assert(t, !m.Allow(ctx, a))
		assert.Assert(t, m.Allow(ctx, b))
		for range 11 {
			m.RecordSuccess(a)
		}
		assert.Assert(t, m.Allow(ctx, a), "ten successes allow one retry")
		time.Sleep(2 * sweepInterval)
		cancel()
		synctest.Wait()
		assert.Equal(t, len(m.budgets), 0)
	})
}
