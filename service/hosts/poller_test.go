package hosts

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
)

// flakyList is a host list that fails on every second fetch.
type flakyList struct {
	calls int
}

func (l *flakyList) Fetch(context.Context) ([]message.Host, error) {
	l.calls++
	if l.calls%2 == 0 {
		return nil, errors.New("list unavailable")
	}
	return []message.Host{{ID: "e1"}}, nil
}

// Guards against hosts that disappear because a fetch of the list failed, and against a task that outlives its context.
func TestFailedFetchKeepsTheList(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		list := &flakyList{}
		p := NewPoller(zap.NewNop(), list, time.Second)
		go p.Run(ctx)
		for range 4 {
			time.Sleep(time.Second)
			synctest.Wait()
			assert.Equal(t, len(p.Current().Load()), 1)
		}
		cancel()
		synctest.Wait()
		assert.Assert(t, list.calls >= 4)
	})
}
