package configuration

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
)

// Time limits of the design page for 16 nodes.
const (
	targetInForce        = 2 * time.Second
	targetInForceStalled = 5 * time.Second
	// measuredChanges is the number of changes from which a percentile is computed.
	measuredChanges = 200
)

// measureSpread makes changes at random nodes and returns the times until each change was in force on all nodes, in
// ascending order. It calls before and after around each change.
func measureSpread(t *testing.T, f *fleet, before, after func(n int)) []time.Duration {
	t.Helper()
	var times []time.Duration
	for n := range measuredChanges {
		before(n)
		node := f.nodes[f.random.IntN(fleetSize)]
		accepted, err := node.changer.Change(t.Context(), putWest(fmt.Sprint("op-", n), config.AnyRevision, fmt.Sprint(n)))
		assert.NilError(t, err)
		after(n)
		times = append(times, f.waitInForce(accepted.Revision))
	}
	slices.Sort(times)
	t.Logf("until in force on %d nodes: median %s, p99 %s, longest %s", fleetSize,
		times[len(times)/2], percentile99(times), times[len(times)-1])
	return times
}

func percentile99(sorted []time.Duration) time.Duration { return sorted[(len(sorted)*99+99)/100-1] }

func doNothing(int) {}

// Guards against accepted changes that need more than 2 s at the 99th percentile to be in force on 16 nodes.
func TestChangeIsInForceEverywhereInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, nil)
		defer f.stop()
		times := measureSpread(t, f, doNothing, doNothing)
		assert.Assert(t, percentile99(times) <= targetInForce)
		for _, n := range f.nodes {
			// Only a starting node may need the whole configuration instead of a delta.
			assert.Assert(t, n.wholePulls.Load() <= 2, "node %d pulled the whole configuration %d times", n.index, n.wholePulls.Load())
		}
	})
}

// Guards against accepted changes that need more than 5 s at the 99th percentile while half of the links are stalled.
func TestChangeSpreadsAroundStalledLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, nil)
		defer f.stop()
		times := measureSpread(t, f, func(n int) {
			if n%10 == 0 {
				f.stallHalfOfLinks()
			}
		}, doNothing)
		assert.Assert(t, percentile99(times) <= targetInForceStalled)
	})
}

// Guards against an accepted change that does not reach other nodes when the key-value service fails right after it.
func TestChangeSpreadsDuringOutage(t *testing.T) {
	for name, target := range map[string]time.Duration{"links work": targetInForce, "half stalled": targetInForceStalled} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3, nil)
				defer f.stop()
				times := measureSpread(t, f, func(int) {
					f.kv.down.Store(false)
					if target == targetInForceStalled {
						f.stallHalfOfLinks()
					}
				}, func(int) { f.kv.down.Store(true) })
				assert.Assert(t, percentile99(times) <= target)
			})
		})
	}
}

// Guards against a starting node that reports readiness with an older configuration than its peers have in force, or that
// cannot start while the key-value service is unavailable.
func TestStartingNodePullsNewestRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4, nil)
		defer f.stop()
		_, err := f.nodes[0].changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.NilError(t, err)
		f.waitInForce(1)
		f.kv.down.Store(true)
		n := f.newNode(fleetSize - 1)
		n.publishMembers(nil)
		f.startNode(n)
		for {
			started, changed := n.distributor.Started().Watch()
			if started {
				break
			}
			<-changed
		}
		assert.Equal(t, n.manager.Current().Load().Revision(), int64(1))
	})
}

// Guards against a node that does not pull from a member with a higher revision.
func TestMemberWithHigherRevisionIsPulled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5, nil)
		defer f.stop()
		last := f.nodes[fleetSize-1]
		for i := range fleetSize - 1 {
			// Only the link to node 0 works.
			f.stalled[last.index][i].Store(i != 0)
			f.stalled[i][last.index].Store(true)
		}
		accepted, err := f.nodes[0].changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.NilError(t, err)
		last.publishMembers(map[int]int64{0: accepted.Revision})
		time.Sleep(targetInForce)
		assert.Equal(t, last.manager.Current().Load().Revision(), accepted.Revision)
	})
}

// Guards against excessive pulls while the configuration does not change: 1 to 3 a second are allowed on each node.
func TestIdleFleetPullsRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, nil)
		defer f.stop()
		time.Sleep(10 * time.Second)
		for _, n := range f.nodes {
			n.pulls.Store(0)
		}
		time.Sleep(100 * time.Second)
		for _, n := range f.nodes {
			pulls := n.pulls.Load()
			assert.Assert(t, pulls > 100 && pulls < 300, "%d pulls in 100 s", pulls)
		}
	})
}

// Guards against a node without reachable peers that stays behind although it can read the key-value service.
func TestIsolatedNodeReadsTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8, nil)
		defer f.stop()
		time.Sleep(time.Second)
		last := f.nodes[fleetSize-1]
		for i := range fleetSize {
			f.stalled[last.index][i].Store(true)
			f.stalled[i][last.index].Store(true)
		}
		accepted, err := f.nodes[0].changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.NilError(t, err)
		time.Sleep(2 * isolationTimeout)
		assert.Equal(t, last.manager.Current().Load().Revision(), accepted.Revision)
	})
}

// Guards against a node that is behind and changes a restored key-value service. The stored revision is higher than the
// revision in force on the node, but lower than the revision in force on its peers.
func TestNodeBehindRefusesChangesOnRestoredService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(9, nil)
		defer f.stop()
		time.Sleep(time.Second)
		last := f.nodes[fleetSize-1]
		for i := range fleetSize {
			f.stalled[last.index][i].Store(true)
			f.stalled[i][last.index].Store(true)
		}
		for n := range 3 {
			_, err := f.nodes[0].changer.Change(t.Context(), putWest(fmt.Sprint("op-", n), config.AnyRevision, "a"))
			assert.NilError(t, err)
		}
		_, err := f.kv.KV.Commit(t.Context(), backing.Txn{Writes: []backing.Write{{Key: headKey, Value: []byte(`{"Revision":2}`)}}})
		assert.NilError(t, err)
		last.publishMembers(map[int]int64{0: 3})
		time.Sleep(time.Second)
		_, err = last.changer.Change(t.Context(), putWest("late", config.AnyRevision, "b"))
		var restored *config.RestoredError
		assert.Assert(t, errors.As(err, &restored), "%v", err)
	})
}
