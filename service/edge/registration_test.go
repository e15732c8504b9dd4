package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/latest"
)

// refusingStore refuses every lease before a point in time.
type refusingStore struct {
	Store
	until time.Time
	calls int
	// renewals counts the renewals; renewErr is their result.
	renewals int
	renewErr error
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

func (s *refusingStore) RenewLease(context.Context, backing.LeaseID) error {
	s.renewals++
	return s.renewErr
}

// Guards against one call a second to a store that keeps refusing the node, and against a node that stays unlisted long
// after the store accepts calls again.
func TestRegistrationBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		store := &refusingStore{until: time.Now().Add(40 * time.Second)}
		(&registration{log: zap.NewNop(), store: store, member: Member{ID: "n"}, cluster: latest.New(&clusterState{})}).run(ctx)
		assert.Assert(t, store.calls <= 9, "%d calls in 40 s", store.calls)
		assert.Assert(t, store.calls >= 8, "%d calls in 40 s", store.calls)
	})
}

// Guards against a fleet that writes all of its entries again when it restarts, and against a node that stays unlisted because
// the lease of its earlier process has ended.
func TestRestartedNodeRenewsItsLease(t *testing.T) {
	for name, test := range map[string]struct {
		renewErr error
		grants   int
	}{
		"lease is valid":  {nil, 0},
		"lease has ended": {backing.ErrLeaseNotFound.New("7"), 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), renewInterval/2)
				defer cancel()
				self := Member{ID: "n", Address: "n:1"}
				v := newView(zap.NewNop(), self, translateEndpoint)
				store := &refusingStore{renewErr: test.renewErr}
				go (&registration{log: zap.NewNop(), store: store, member: self, cluster: v.current}).run(ctx)
				synctest.Wait()
				entry := backing.Entry{Key: memberPrefix + self.ID, Value: self.encode(), ModRevision: 1, Lease: 7}
				storeReadMessage{result: backing.RangeResult{Entries: []backing.Entry{entry}, Revision: 1}}.apply(v)
				<-ctx.Done()
				synctest.Wait()
				assert.Equal(t, store.renewals, 1)
				assert.Equal(t, store.calls, test.grants)
			})
		})
	}
}

// outageStore does not answer before a point in time, and the lease has ended then.
type outageStore struct {
	Store
	until time.Time
	// endedAt is the time at which the node has heard that its lease has ended, registeredAt that at which it has asked for another one.
	endedAt, registeredAt time.Time
}

func (s *outageStore) GrantLease(context.Context, time.Duration) (backing.LeaseID, error) {
	s.registeredAt = time.Now()
	return 0, backing.ErrUnavailable.New("refused")
}

func (s *outageStore) RenewLease(context.Context, backing.LeaseID) error {
	if time.Now().Before(s.until) {
		return backing.ErrUnavailable.New("down")
	}
	s.endedAt = time.Now()
	return backing.ErrLeaseNotFound.New("7")
}

// Guards against a node that stays unlisted for seconds after an outage in which its lease has ended: the other nodes keep it listed for a
// while only.
func TestNodeRegistersAtOnceWhenItsLeaseHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &outageStore{until: time.Now().Add(2 * registrationTTL)}
		ctx, cancel := context.WithDeadline(t.Context(), store.until.Add(maxRegistrationBackoff+time.Second))
		defer cancel()
		(&registration{log: zap.NewNop(), store: store, member: Member{ID: "n"}, cluster: latest.New(&clusterState{Revision: 1, OwnLease: 7})}).run(ctx)
		assert.Assert(t, !store.endedAt.IsZero())
		assert.Equal(t, store.registeredAt, store.endedAt)
	})
}
