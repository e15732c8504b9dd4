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

// Targets of the design page, for 16 nodes.
const (
	targetInForce        = 2 * time.Second
	targetInForceStalled = 5 * time.Second
	// spreadChanges is the number of changes that a percentile is taken over.
	spreadChanges = 200
)

// spread makes changes at random nodes and returns the times until each was in force everywhere, shortest first. It calls
// before and after around each change.
func spread(t *testing.T, f *fleet, before, after func(n int)) []time.Duration {
	t.Helper()
	var times []time.Duration
	for n := range spreadChanges {
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

func nothing(int) {}

// Guards against an accepted change that is not in force on 16 nodes within 2 s at the 99th percentile.
func TestChangeIsInForceEverywhereInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, nil)
		defer f.end()
		times := spread(t, f, nothing, nothing)
		assert.Assert(t, percentile99(times) <= targetInForce)
		for _, n := range f.nodes {
			// Only a node that starts may need more than the difference.
			assert.Assert(t, n.whole.Load() <= 2, "node %d pulled the whole configuration %d times", n.index, n.whole.Load())
		}
	})
}

// Guards against stalled links that keep a change from some nodes: within 5 s with half of the links stalled.
func TestChangeSpreadsAroundStalledLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, nil)
		defer f.end()
		times := spread(t, f, func(n int) {
			if n%10 == 0 {
				f.stallHalf()
			}
		}, nothing)
		assert.Assert(t, percentile99(times) <= targetInForceStalled)
	})
}

// Guards against an accepted change that stays on one node when the key-value service goes away right after it.
func TestChangeSpreadsDuringOutage(t *testing.T) {
	for name, target := range map[string]time.Duration{"links work": targetInForce, "half stalled": targetInForceStalled} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3, nil)
				defer f.end()
				times := spread(t, f, func(int) {
					f.kv.down.Store(false)
					if target == targetInForceStalled {
						f.stallHalf()
					}
				}, func(int) { f.kv.down.Store(true) })
				assert.Assert(t, percentile99(times) <= target)
			})
		})
	}
}

// Guards against a starting node that says it is ready with an older configuration than its peers have, or that cannot
// start while the key-value service is away.
func TestStartingNodeTakesTheNewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4, nil)
		defer f.end()
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
		assert.Equal(t, n.keeper.Current().Load().Revision(), int64(1))
	})
}

// Guards against a node that ignores a member with a higher revision.
func TestMemberWithHigherRevisionIsPulled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5, nil)
		defer f.end()
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
		assert.Equal(t, last.keeper.Current().Load().Revision(), accepted.Revision)
	})
}

// Guards against a control cost that grows while nothing changes: at most a few pulls a second.
func TestIdleFleetPullsRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, nil)
		defer f.end()
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

// Guards against a node that no peer answers and that stays behind although it can read the key-value service.
func TestIsolatedNodeReadsTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8, nil)
		defer f.end()
		time.Sleep(time.Second)
		last := f.nodes[fleetSize-1]
		for i := range fleetSize {
			f.stalled[last.index][i].Store(true)
			f.stalled[i][last.index].Store(true)
		}
		accepted, err := f.nodes[0].changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.NilError(t, err)
		time.Sleep(2 * isolatedTime)
		assert.Equal(t, last.keeper.Current().Load().Revision(), accepted.Revision)
	})
}

// Guards against a node that is behind and makes a change on top of a restored key-value service, since the service shows
// more than the node has in force, but less than its peers have.
func TestNodeBehindRefusesChangesOnRestoredService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(9, nil)
		defer f.end()
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
