package rollout

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/faultykv"
)

// Guards against a good version that is not completed, and against calls to the store without an open order.
func TestGoodVersionIsCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runSite(t, func(_ context.Context, s *testSite) {
			time.Sleep(time.Minute)
			assert.Equal(t, s.writes.Load(), int64(0), "calls without an order")
			s.order("v2", 12)
			s.await("in_progress", "v2", time.Second)
			s.await("completed", "v2", 11*time.Second)
			time.Sleep(10 * time.Second)
			before := s.writes.Load()
			time.Sleep(time.Minute)
			assert.Equal(t, s.writes.Load(), before, "calls after the order was completed")
			assert.Assert(t, s.nodes[0].store.Mode.Load() == int32(faultykv.None))
		})
	})
}

// Guards against a version that fails and is not reverted, and against a decision by the counts of one data centre alone.
func TestFailingVersionIsReverted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runSite(t, func(_ context.Context, s *testSite) {
			s.targetFails.Store(true)
			s.order("v2", 12)
			s.await("reverted", "v2", 4*time.Second)
			time.Sleep(time.Second)
			sends := int64(0)
			for _, n := range s.nodes {
				sends += n.targetSends.Load()
			}
			assert.Assert(t, sends <= 50, "%d requests were sent to a version whose answers all fail", sends)
		})
	})
}

// Guards against a state that is taken back, written twice or never written because the decider is killed or paused, or because the
// store refuses it, loses its answers, or applies its writes late: before, while and after a state is written.
func TestFaultsOfTheDecider(t *testing.T) {
	modes := map[string]faultykv.Mode{
		"refused": faultykv.Refuse, "answers lost": faultykv.LoseAnswer, "late writes": faultykv.LateWrite, "paused": faultykv.Pause,
		"stalled": faultykv.Stall, "killed": faultykv.None,
	}
	// The verdict on a bad version is due after about 0.8 s, that on a good one after 4 s.
	moments := map[bool][]time.Duration{
		true:  {0, 300 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond, time.Second, 1500 * time.Millisecond},
		false: {0, 500 * time.Millisecond, 3500 * time.Millisecond, 3800 * time.Millisecond, 4 * time.Second, 4500 * time.Millisecond},
	}
	for name, mode := range modes {
		for fails, times := range moments {
			for _, at := range times {
				t.Run(fmt.Sprint(name, " at ", at, ", bad ", fails), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						runSite(t, func(ctx context.Context, s *testSite) {
							s.order("v2", 20)
							s.await("in_progress", "v2", time.Second)
							s.targetFails.Store(fails)
							time.Sleep(at)
							d := s.decider()
							if name == "killed" {
								d.kill()
							} else {
								d.store.Mode.Store(int32(mode))
								time.AfterFunc(5*time.Second, func() { d.store.Mode.Store(int32(faultykv.None)) })
							}
							if fails {
								s.awaitInTime("reverted", "v2")
							} else {
								s.awaitInTime("completed", "v2")
							}
							if name == "killed" {
								d.start(ctx)
							}
							time.Sleep(20 * time.Second)
						})
					})
				})
			}
		}
	}
}

// Guards against a target that goes on to get requests while its decider cannot write what it has found, and against a stop that
// outlasts the silence of the store.
func TestTargetStopsWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runSite(t, func(_ context.Context, s *testSite) {
			s.order("v2", 30)
			s.await("in_progress", "v2", time.Second)
			time.Sleep(time.Second)
			d := s.decider()
			d.store.Mode.Store(int32(faultykv.Refuse))
			time.Sleep(1500 * time.Millisecond)
			for _, n := range s.nodes {
				assert.Assert(t, n.stopped.Load(), "node %s", n.id)
			}
			d.store.Mode.Store(int32(faultykv.None))
			time.Sleep(3 * time.Second)
			for _, n := range s.nodes {
				assert.Assert(t, !n.stopped.Load(), "node %s", n.id)
			}
			s.await("completed", "v2", 29*time.Second)
		})
	})
}

// Guards against a completed roll-out while a node still runs requests on old endpoints, and against one that such a node holds up
// beyond the deadline.
func TestCompletedOnlyWhenConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runSite(t, func(_ context.Context, s *testSite) {
			s.nodes[5].oldRuns.Store(1)
			s.order("v2", 12)
			time.Sleep(10 * time.Second)
			assert.Equal(t, s.status(), `{"state":"in_progress","target":"v2"}`)
			s.await("completed", "v2", 2*time.Second)
		})
	})
}

// Guards against a node without news of the other half that counts it as confirmed, when two halves have different counts.
func TestHalvesWithDifferentCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runSite(t, func(_ context.Context, s *testSite) {
			for _, n := range s.nodes[3:] {
				n.isolated.Store(true)
			}
			s.order("v2", 12)
			time.Sleep(10 * time.Second)
			assert.Equal(t, s.status(), `{"state":"in_progress","target":"v2"}`)
			s.await("completed", "v2", 2*time.Second)
		})
	})
}

// Guards against an order that nobody decides after the primary relays were lost, whose entries stay listed for up to a minute.
func TestSecondRelayStandsIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runSite(t, func(_ context.Context, s *testSite) {
			for _, n := range s.nodes {
				if n.rank == 0 {
					n.kill()
				}
			}
			s.order("v2", 12)
			s.await("in_progress", "v2", 4*time.Second)
			s.awaitInTime("completed", "v2")
		})
	})
}

// Guards against counts that operators no longer see once the roll-out has its final state.
func TestCountsStayVisibleAfterTheFinalState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runSite(t, func(_ context.Context, s *testSite) {
			s.targetFails.Store(true)
			s.order("v2", 12)
			s.await("reverted", "v2", 4*time.Second)
			time.Sleep(5 * time.Second)
			overviews := s.nodes[0].process.Load().manager.Overviews()
			assert.Equal(t, len(overviews), 1)
			assert.Equal(t, overviews[0].Phase, "reverted")
			failures := int64(0)
			for _, c := range overviews[0].Fleet {
				failures += c.Failures
			}
			assert.Assert(t, failures >= 20, "%+v", overviews[0].Fleet)
		})
	})
}

// Guards against a deadline that passes unnoticed because each node was restarted once since the order.
func TestAgeOfAnOrderOutlastsRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runSite(t, func(ctx context.Context, s *testSite) {
			// The last node holds the promotion up to the deadline.
			s.nodes[5].oldRuns.Store(1)
			s.order("v2", 30)
			time.Sleep(3 * time.Second)
			for _, n := range s.nodes {
				n.kill()
				time.Sleep(500 * time.Millisecond)
				n.start(ctx)
				time.Sleep(2500 * time.Millisecond)
			}
			s.awaitInTime("completed", "v2")
		})
	})
}
