package ownership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"azuredyke.dev/azuredyke/decision/ownership"
	"azuredyke.dev/azuredyke/fake/faultykv"
)

// Guards against two nodes that are confirmed owners of a resource at the same time or own it with the same fence, and
// against resources that stay without an owner after the faults. The faults are lost responses, delayed writes, outages
// and pauses.
func TestOneConfirmedOwnerUnderFaults(t *testing.T) {
	defer goleak.VerifyNone(t)
	rapid.Check(t, func(rt *rapid.T) {
		const nodes = 3
		type step struct {
			node, mode int
			wait       time.Duration
		}
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				node: rapid.IntRange(0, nodes).Draw(rt, "node"),
				mode: rapid.IntRange(0, int(faultykv.Stall)-1).Draw(rt, "mode"),
				wait: time.Duration(rapid.IntRange(1, 12_000).Draw(rt, "ms")) * time.Millisecond,
			}
		}), 1, 10).Draw(rt, "steps")
		err := runInBubble(t, func(t *testing.T) error {
			s := newCluster(t, nodes, nil)
			for _, step := range steps {
				for i, n := range s.nodes {
					// The index after the last node selects all nodes, as in an outage of the key-value service.
					if i == step.node || step.node == nodes {
						n.kv.Mode.Store(int32(step.mode))
					}
				}
				if err := s.checkFor(step.wait); err != nil {
					return err
				}
			}
			for _, n := range s.nodes {
				n.kv.Mode.Store(int32(faultykv.None))
			}
			if err := s.checkFor(settleTime); err != nil {
				return err
			}
			if got := s.confirmed(); got != requiredResources {
				return fmt.Errorf("%d of %d resources have a confirmed owner", got, requiredResources)
			}
			return nil
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against an owner that drops its resources during an outage of the key-value service, and against resources that
// have no confirmed owner, or a lower fence, after it.
func TestOutageKeepsHoldings(t *testing.T) {
	for _, mode := range []faultykv.Mode{faultykv.Refuse, faultykv.Pause} {
		synctest.Test(t, func(t *testing.T) {
			s := newCluster(t, 2, nil)
			assert.NilError(t, s.checkFor(settleTime))
			before := s.nodes[0].manager.Current().Load().ByResource
			assert.Assert(t, len(before) > 0)
			for _, n := range s.nodes {
				n.kv.Mode.Store(int32(mode))
			}
			assert.NilError(t, s.checkFor(settleTime))
			outage := s.nodes[0].manager.Current().Load()
			assert.Assert(t, !outage.Confirmed(time.Now()))
			assert.Equal(t, len(outage.ByResource), len(before))
			for _, n := range s.nodes {
				n.kv.Mode.Store(int32(faultykv.None))
			}
			assert.NilError(t, s.checkFor(settleTime))
			assert.Equal(t, s.confirmed(), requiredResources)
			if mode == faultykv.Refuse {
				return
			}
			for resource, hold := range s.nodes[0].manager.Current().Load().ByResource {
				assert.Assert(t, hold.Fence >= before[resource].Fence)
			}
		})
	}
}

// Guards against a failover that takes longer than the lease, the delays of two candidates and 500 ms for the calls.
func TestFailoverTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 3, nil)
		assert.NilError(t, s.checkFor(settleTime))
		assert.Equal(t, s.confirmed(), requiredResources)
		s.nodes[0].cancel()
		// The member list still contains the stopped node, so the next candidate waits for the delay of its rank.
		assert.NilError(t, s.checkFor(6*time.Second+2*candidateDelay+500*time.Millisecond))
		assert.Equal(t, s.nodes[1].confirmed()+s.nodes[2].confirmed(), requiredResources)
	})
}

// Guards against a node that acquires all resources because it starts first, and never hands any of them over.
func TestResourcesAreHandedOverToLaterNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var drained int
		s := newCluster(t, 1, func(context.Context, string) error { drained++; return nil })
		assert.NilError(t, s.checkFor(settleTime))
		assert.Equal(t, s.nodes[0].confirmed(), requiredResources)
		s.add(nil)
		assert.NilError(t, s.checkFor(ownership.SettlingTime-settleTime))
		assert.Equal(t, s.nodes[0].confirmed(), requiredResources)
		assert.NilError(t, s.checkFor(5*time.Minute))
		assert.Equal(t, s.nodes[0].confirmed(), requiredResources/2)
		assert.Equal(t, s.nodes[1].confirmed(), requiredResources/2)
		assert.Equal(t, drained, requiredResources/2)
	})
}

// Guards against a stopping node that releases a resource while grants are open, or that acquires the resource again.
func TestReleaseWaitsForOpenGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		open := make(chan struct{})
		s := newCluster(t, 1, func(ctx context.Context, _ string) error {
			select {
			case <-open:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		assert.NilError(t, s.checkFor(settleTime))
		first := s.nodes[0]
		s.add(nil)
		done := make(chan error, 1)
		go func() { done <- first.manager.Release(context.Background()) }()
		assert.NilError(t, s.checkFor(settleTime))
		h := first.manager.Current().Load()
		assert.Equal(t, len(h.ByResource), requiredResources)
		for _, hold := range h.ByResource {
			assert.Assert(t, hold.Releasing)
		}
		close(open)
		assert.NilError(t, <-done)
		assert.Equal(t, first.confirmed(), 0)
		assert.NilError(t, s.checkFor(settleTime))
		assert.Equal(t, s.nodes[1].confirmed(), requiredResources)
	})
}

// Guards against an owner that keeps a resource after a higher fence was reported, and against a resource that stays
// without an owner after such a report.
func TestObserveFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, nil)
		assert.NilError(t, s.checkFor(settleTime))
		n := s.nodes[0]
		shard := ownership.ClaimShardName(3)
		assert.NilError(t, n.manager.ObserveFence(t.Context(), shard, 7))
		synctest.Wait()
		_, ok := n.manager.Current().Load().ByResource[shard]
		assert.Assert(t, !ok || n.manager.Current().Load().ByResource[shard].Fence > 7)
		assert.NilError(t, s.checkFor(settleTime))
		assert.Equal(t, n.manager.Current().Load().ByResource[shard].Fence, uint64(8))
	})
}

// Guards against a resource that is still published as held while the deletion of its owner record may have been
// committed.
func TestReleaseWithDelayedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, nil)
		assert.NilError(t, s.checkFor(settleTime))
		first := s.nodes[0]
		assert.Assert(t, first.confirmed() > 0)
		done := make(chan error, 1)
		go func() { done <- first.manager.Release(context.Background()) }()
		assert.NilError(t, s.checkFor(500*time.Millisecond))
		first.kv.Mode.Store(int32(faultykv.Pause))
		assert.NilError(t, s.checkFor(settleTime))
		assert.NilError(t, <-done)
		assert.Equal(t, s.nodes[1].confirmed(), requiredResources)
	})
}

// Guards against an owner record that is written while another node owns the resource, and against a record restored with
// its old fence after another node has owned the resource in the meantime.
func TestOwnerWriterConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 0, nil)
		ctx := t.Context()
		writer := func(node string) ownerWriter {
			lease, err := s.kv.GrantLease(ctx, time.Minute)
			assert.NilError(t, err)
			return ownerWriter{kv: s.kv, node: node, resource: "r", lease: lease}
		}
		first, second := writer("a"), writer("b")
		held, err := first.acquire(ctx, 0)
		assert.NilError(t, err)
		assert.Assert(t, held.owned)
		taken, err := second.acquire(ctx, 0)
		assert.NilError(t, err)
		assert.Assert(t, !taken.owned)

		assert.NilError(t, s.kv.RevokeLease(ctx, first.lease))
		first = writer("a")
		restored, err := first.restore(ctx, held.fence)
		assert.NilError(t, err)
		assert.Assert(t, restored.owned)
		assert.Equal(t, restored.fence, held.fence)

		assert.NilError(t, s.kv.RevokeLease(ctx, first.lease))
		taken, err = second.acquire(ctx, 0)
		assert.NilError(t, err)
		assert.Assert(t, taken.owned && taken.fence > held.fence)
		assert.NilError(t, s.kv.RevokeLease(ctx, second.lease))
		restored, err = writer("a").restore(ctx, held.fence)
		assert.NilError(t, err)
		assert.Assert(t, !restored.owned)
	})
}
