package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
)

// refusingStore refuses every lease before a point in time.
type refusingStore struct {
	Store
	until time.Time
	calls int
}

func (s *refusingStore) GrantLease(context.Context, time.Duration) (backing.LeaseID, error) {
	s.calls++
	if time.Now().Before(s.until) {
		return 0, backing.ErrUnavailable.New("refused")
	}
	return 1, nil
}

func (s *refusingStore) Commit(context.Context, backing.Txn) (backing.CommitResult, error) {
	return backing.CommitResult{Committed: true}, nil
}

func (s *refusingStore) RenewLease(context.Context, backing.LeaseID) error { return nil }

// Guards against one call a second to a store that keeps refusing the node, and against a node that stays unlisted long
// after the store accepts calls again.
func TestRegistrationBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		store := &refusingStore{until: time.Now().Add(40 * time.Second)}
		(&registration{log: zap.NewNop(), store: store, member: Member{ID: "n"}}).run(ctx)
		assert.Assert(t, store.calls <= 9, "%d calls in 40 s", store.calls)
		assert.Assert(t, store.calls >= 8, "%d calls in 40 s", store.calls)
	})
}
