package rollout

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/rollout"
	"azuredyke.dev/azuredyke/fake/faultykv"
	"azuredyke.dev/azuredyke/platform/records"
)

// testNode is one node of a testSite. It implements Cluster, Dispatcher and Peers.
type testNode struct {
	site       *testSite
	id         string
	dataCentre string
	rank       int
	store      *faultykv.KV
	state      *latest.Value[*State]
	// process holds the tasks; nil while the node's process has ended.
	process atomic.Pointer[testProcess]
	stop    context.CancelFunc
	// isolated drops the node's messages to other data centres, and those from there.
	isolated atomic.Bool
	// oldRuns is the number of runs on old endpoints that the node reports. stopped is set by stop notices.
	oldRuns atomic.Int64
	stopped atomic.Bool
	// targetSends counts the requests that the node sent to the target.
	targetSends atomic.Int64
	// load sends requests through a dispatch table; nil for the simple load.
	load *testLoad
}

func newTestNode(s *testSite, id, dataCentre string, rank int) *testNode {
	n := &testNode{site: s, id: id, dataCentre: dataCentre, rank: rank, store: &faultykv.KV{KV: s.kv, Writes: &s.writes}}
	n.state = latest.New(&State{Fleet: fleet.NewState().Snapshot(), DataCentre: dataCentre, Rank: rank})
	return n
}

// start starts the tasks of a new process of the node.
func (n *testNode) start(ctx context.Context) {
	ctx, n.stop = context.WithCancel(ctx)
	var dispatcher Dispatcher = n
	newJudge := func() Judge { return testJudge{} }
	if n.site.seed > 0 {
		n.load = newTestLoad(n, n.site.seed*100+uint64(slices.Index(n.site.nodes, n)))
		dispatcher = n.load
		newJudge = func() Judge { return rollout.NewJudge(rollout.JudgeParams{}) }
	}
	manager := NewManager(zap.NewNop(), n.id, n, dispatcher, n, time.Now, tally.NoopScope)
	decider := NewDecider(zap.NewNop(), n.id, n, manager, n, n.store, records.EncodeRolloutStatus, newJudge, time.Now, tally.NoopScope)
	n.process.Store(&testProcess{manager: manager, decider: decider})
	go n.follow(ctx)
	go manager.Run(ctx)
	go decider.Run(ctx)
	if n.load != nil {
		go n.load.run(ctx, manager)
	} else {
		go n.serve(ctx, manager)
	}
}

// kill ends the node's process.
func (n *testNode) kill() {
	n.process.Store(nil)
	n.stop()
}

// follow keeps the state up to date.
func (n *testNode) follow(ctx context.Context) {
	all, _ := n.site.kv.Range(ctx, "")
	state, holder := fleet.NewState(), Holder{}
	batches, err := n.site.kv.Watch(ctx, "", 1)
	if err != nil {
		panic(err)
	}
	for batch := range batches {
		for _, e := range batch.Events {
			switch {
			case e.Entry.Key == DeciderKey && e.Deleted:
				holder = Holder{}
			case e.Entry.Key == DeciderKey:
				node, _ := DecodeHolder(e.Entry.Value)
				holder = Holder{Node: node, Revision: e.Entry.ModRevision}
			case len(e.Entry.Key) > len(PlanPrefix) && e.Entry.Key[:len(PlanPrefix)] == PlanPrefix:
				p, err := DecodePlan(e.Entry.Key[len(PlanPrefix):], e.Entry.Value)
				if err == nil {
					state.Apply(time.Now(), fleet.PlanWritten{Plan: p, Revision: e.Entry.ModRevision})
				}
			default:
				if change, _ := records.DecodeChange(e); change != nil {
					state.Apply(time.Now(), change)
				}
			}
		}
		if batch.Revision < all.Revision {
			// A node reads the store as a whole when it starts.
			continue
		}
		local, elsewhere := n.site.listed(n.dataCentre)
		n.state.Publish(&State{
			Fleet: state.Snapshot(), DataCentre: n.dataCentre, Rank: n.rank, LocalNodes: local, NodesElsewhere: elsewhere, Holder: holder,
		})
	}
}

// serve sends 50 requests a second: a tenth to the target while it is observed, all of them while it is promoted.
func (n *testNode) serve(ctx context.Context, manager *Manager) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		state := n.state.Load()
		p, order := state.plan("s"), state.order("s")
		if order == nil {
			continue
		}
		group := rollout.OldGroup
		if p != nil && p.Order.Revision == order.Revision && !n.stopped.Load() &&
			(p.Phase == rollout.Observing && i%10 == 0 || p.Phase == rollout.Promoting || p.Phase == rollout.Completed) {
			group = rollout.TargetGroup
			n.targetSends.Add(1)
		}
		manager.RecordSend("s", order.Revision, group, "r")
		manager.RecordSample("s", order.Revision, rollout.Sample{
			Group: group, Route: "r", Failed: group == rollout.TargetGroup && n.site.targetFails.Load(), FirstEvent: 10 * time.Millisecond,
		})
	}
}

// Watch implements Cluster.
func (n *testNode) Watch() (*State, <-chan struct{}) { return n.state.Watch() }

// Progress implements Dispatcher.
func (n *testNode) Progress(context.Context) ([]dispatch.RolloutProgress, error) {
	var all []dispatch.RolloutProgress
	for service, stored := range n.state.Load().Fleet.Plans {
		all = append(all, dispatch.RolloutProgress{
			Service: service, Revision: stored.Plan.Order.Revision, Phase: stored.Plan.Phase, OldRuns: int(n.oldRuns.Load()),
		})
	}
	return all, nil
}

// SetStopped implements Dispatcher.
func (n *testNode) SetStopped(_ string, _ int64, stopped bool) { n.stopped.Store(stopped) }

// SendReport implements Peers.
func (n *testNode) SendReport(r Report, both bool) {
	n.deliver(func(to *testNode) bool {
		return to.dataCentre == n.dataCentre && (to.rank == 0 || both && to.rank >= 0)
	}, func(_ *testNode, m *Manager) { m.OfferReport(r) })
}

// SendSum implements Peers.
func (n *testNode) SendSum(s Sum) {
	n.deliver(func(to *testNode) bool { return to.dataCentre != n.dataCentre && to.rank >= 0 }, func(_ *testNode, m *Manager) { m.OfferSum(s) })
}

// SendStop implements Peers.
func (n *testNode) SendStop(s Stop) {
	n.deliver(func(to *testNode) bool { return to.dataCentre == n.dataCentre }, func(_ *testNode, m *Manager) { m.OfferStop(s) })
	n.deliver(func(to *testNode) bool { return to.dataCentre != n.dataCentre && to.rank >= 0 }, func(to *testNode, m *Manager) {
		m.OfferStop(s)
		to.ForwardStop(s)
	})
}

// ForwardStop implements Peers.
func (n *testNode) ForwardStop(s Stop) {
	n.deliver(func(to *testNode) bool { return to.dataCentre == n.dataCentre }, func(_ *testNode, m *Manager) { m.OfferStop(s) })
}

// deliver delivers a message to the other nodes that are selected, 5 ms later.
func (n *testNode) deliver(selects func(*testNode) bool, message func(*testNode, *Manager)) {
	for _, to := range n.site.nodes {
		if to == n || !selects(to) || to.dataCentre != n.dataCentre && (n.isolated.Load() || to.isolated.Load()) {
			continue
		}
		time.AfterFunc(5*time.Millisecond, func() {
			if p := to.process.Load(); p != nil {
				message(to, p.manager)
			}
		})
	}
}
