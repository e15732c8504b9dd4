package rollout

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/decision/rollout"
	"azuredyke.dev/azuredyke/platform/records"
)

// testSite is a store with nodes in two data centres, in virtual time. It must be used in a synctest bubble.
type testSite struct {
	t           *testing.T
	kv          *memory.KV
	nodes       []*testNode
	writes      atomic.Int64
	targetFails atomic.Bool
	// seed is the seed of the nodes' loads; 0 for the simple load and judge. fault is that of the target; nil if it is good.
	seed      uint64
	fault     *testFault
	orderedAt time.Time
	// deadline is that of the last order.
	deadline time.Time
}

// runSite runs play on a site with three nodes in each of two data centres, and then checks the history of the plans.
func runSite(t *testing.T, play func(ctx context.Context, s *testSite)) {
	t.Helper()
	playSite(t, &testSite{t: t, kv: memory.NewKV()}, play)
}

// playSite is runSite with a site that has no nodes yet.
func playSite(t *testing.T, s *testSite, play func(ctx context.Context, s *testSite)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go s.kv.Run(ctx)
	s.put("servers/old", `{"service":"s","address":"127.0.0.1:1","zone":"a","slots":8,"state":"ready","coldLeftMs":0,"version":"v1"}`)
	s.put("servers/new", `{"service":"s","address":"127.0.0.1:2","zone":"a","slots":8,"state":"ready","coldLeftMs":0,"version":"v2"}`)
	if s.seed > 0 {
		s.addEndpoints(11)
	}
	for _, dataCentre := range []string{"a", "b"} {
		for i := range 3 {
			rank := i
			if i == 2 {
				rank = -1
			}
			s.nodes = append(s.nodes, newTestNode(s, fmt.Sprint(dataCentre, i), dataCentre, rank))
		}
	}
	for _, n := range s.nodes {
		n.start(ctx)
	}
	time.Sleep(time.Second)
	play(ctx, s)
	s.checkHistory()
	cancel()
	// Calls that a fault delays end with it.
	time.Sleep(time.Minute)
}

// addEndpoints adds endpoints of each version in each data centre.
func (s *testSite) addEndpoints(count int) {
	for i := range count {
		for _, version := range []string{"v1", "v2"} {
			for _, dataCentre := range []string{"a", "b"} {
				s.put(fmt.Sprint("servers/", version, dataCentre, i), fmt.Sprintf(
					`{"service":"s","address":"127.0.0.1:%d","zone":%q,"slots":24,"state":"ready","coldLeftMs":0,"version":%q}`, 100+i, dataCentre, version))
			}
		}
	}
}

// listed returns the nodes of a data centre and the numbers of nodes of the other ones.
func (s *testSite) listed(dataCentre string) ([]string, map[string]int) {
	var local []string
	elsewhere := map[string]int{}
	for _, n := range s.nodes {
		if n.dataCentre == dataCentre {
			local = append(local, n.id)
		} else {
			elsewhere[n.dataCentre]++
		}
	}
	return local, elsewhere
}

func (s *testSite) put(key, value string) {
	_, err := s.kv.Commit(s.t.Context(), backing.Txn{Writes: []backing.Write{{Key: key, Value: []byte(value)}}})
	assert.NilError(s.t, err)
}

func (s *testSite) remove(key string) {
	_, err := s.kv.Commit(s.t.Context(), backing.Txn{Writes: []backing.Write{{Key: key, Delete: true}}})
	assert.NilError(s.t, err)
}

func (s *testSite) order(target string, seconds int) {
	s.orderedAt = time.Now()
	s.deadline = s.orderedAt.Add(time.Duration(seconds) * time.Second)
	s.put("op/rollout/s", fmt.Sprintf(`{"service":"s","target":%q,"durationS":%d}`, target, seconds))
}

// status returns the status that operators read; empty if there is none.
func (s *testSite) status() string {
	e, err := s.kv.Get(s.t.Context(), "status/rollout/s")
	assert.NilError(s.t, err)
	return string(e.Value)
}

// await waits until the status is the given one, at most the given time.
func (s *testSite) await(state, target string, limit time.Duration) {
	s.t.Helper()
	want := fmt.Sprintf(`{"state":%q,"target":%q}`, state, target)
	for deadline := time.Now().Add(limit); s.status() != want; time.Sleep(10 * time.Millisecond) {
		assert.Assert(s.t, time.Now().Before(deadline), "the status is %s and not %s after %v", s.status(), want, limit)
	}
}

// awaitInTime waits until the status is the given one, at most until the deadline of the order.
func (s *testSite) awaitInTime(state, target string) {
	s.t.Helper()
	s.await(state, target, time.Until(s.deadline))
}

// decider returns the node that holds the decider's key.
func (s *testSite) decider() *testNode {
	e, err := s.kv.Get(s.t.Context(), DeciderKey)
	assert.NilError(s.t, err)
	for _, n := range s.nodes {
		if p := n.process.Load(); p != nil && e.ModRevision > 0 && bytes.Equal(e.Value, p.decider.holder) {
			return n
		}
	}
	s.t.Fatal("there is no decider")
	return nil
}

// killDecider kills the node that holds the decider's key, if there is one.
func (s *testSite) killDecider() {
	e, err := s.kv.Get(s.t.Context(), DeciderKey)
	assert.NilError(s.t, err)
	for _, n := range s.nodes {
		if p := n.process.Load(); p != nil && e.ModRevision > 0 && bytes.Equal(e.Value, p.decider.holder) {
			n.kill()
		}
	}
}

// checkHistory checks that no final state was taken back, and that plan and status were always written together.
func (s *testSite) checkHistory() {
	s.t.Helper()
	batches, err := s.kv.Watch(s.t.Context(), "", 1)
	assert.NilError(s.t, err)
	final := map[int64]rollout.Phase{}
	for {
		var batch backing.WatchBatch
		select {
		case batch = <-batches:
		case <-time.After(time.Second):
			return
		}
		var plan *rollout.Plan
		var status string
		for _, e := range batch.Events {
			switch e.Entry.Key {
			case PlanPrefix + "s":
				plan, err = DecodePlan("s", e.Entry.Value)
				assert.NilError(s.t, err)
			case "status/rollout/s":
				status = string(e.Entry.Value)
			}
		}
		if plan == nil {
			assert.Equal(s.t, status, "", "a status was written without the plan")
			continue
		}
		_, want := records.EncodeRolloutStatus("s", plan.Order.Target, plan.Phase)
		assert.Equal(s.t, status, string(want))
		if before, ok := final[plan.Order.Revision]; ok {
			assert.Equal(s.t, plan.Phase, before, "a final state was taken back")
		}
		if plan.Phase.IsFinal() {
			final[plan.Order.Revision] = plan.Phase
		}
	}
}
