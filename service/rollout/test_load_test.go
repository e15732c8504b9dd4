package rollout

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/rollout"
)

// testLoad is the task that sends the requests of one node through a dispatch table: 16 plain calls and 4 streams of 3 s per second. It
// implements Dispatcher.
type testLoad struct {
	node     *testNode
	random   *rand.Rand
	manager  *Manager
	table    *dispatch.Table
	messages chan func()
	done     <-chan struct{}
	runs     map[uint64]*testLoadRun

	// sends and targetSends are the times of the requests under the order, badAnswers those of answers that the fault affected.
	sends, targetSends, badAnswers []time.Time
	// lost counts runs on old endpoints at the moment of completed.
	lost, refused int
}

func newTestLoad(n *testNode, seed uint64) *testLoad {
	random := rand.New(rand.NewPCG(seed, 5))
	params := dispatch.Params{DataCentre: n.dataCentre, RetryRatio: 0.2, RetryAllowance: 200, RetryWindow: 10 * time.Second, CanaryShare: 0.08}
	table := dispatch.NewTable(time.Now().Add(-time.Hour), params, random)
	table.SetNodes(len(n.site.nodes))
	return &testLoad{node: n, random: random, table: table, messages: make(chan func(), 64), runs: map[uint64]*testLoadRun{}}
}

func (l *testLoad) run(ctx context.Context, m *Manager) {
	l.manager, l.done = m, ctx.Done()
	state, changed := l.node.state.Watch()
	l.apply(state)
	next := time.After(0)
	for {
		select {
		case <-l.done:
			return
		case <-changed:
			state, changed = l.node.state.Watch()
			l.apply(state)
		case message := <-l.messages:
			message()
		case <-next:
			l.send(dispatch.Request{Service: "s"}, l.random.IntN(5) == 0)
			next = time.After(time.Duration(l.random.ExpFloat64() / 20 * float64(time.Second)))
		}
	}
}

// after has the task call a function after some time.
func (l *testLoad) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		select {
		case l.messages <- f:
		case <-l.done:
		}
	})
}

// apply follows the state. Runs that must move do so within 0.2 to 0.6 s.
func (l *testLoad) apply(s *State) {
	with := *s.Fleet
	with.Configuration = &catalog.Configuration{Services: map[string]*catalog.Service{"s": {Name: "s"}}}
	l.table.SetSnapshot(time.Now(), &with)
	p := s.plan("s")
	for _, r := range l.runs {
		if l.table.RolloutAllowsRuns("s", r.placed.Endpoint.Version) {
			continue
		}
		if p != nil && p.Phase == rollout.Completed {
			l.lost++
		} else if r.isStream {
			l.after(time.Duration((0.2+0.4*l.random.Float64())*float64(time.Second)), func() { l.move(r) })
		}
	}
}

// move continues a run at another endpoint.
func (l *testLoad) move(r *testLoadRun) {
	if r.ended || l.table.RolloutAllowsRuns("s", r.placed.Endpoint.Version) {
		return
	}
	l.end(r, dispatch.Cancelled)
	l.send(dispatch.Request{Service: "s", Resumed: true, Repeat: true, ForceRepeat: true, Group: r.placed.Group()}, true)
}

// send places a request and schedules its answer.
func (l *testLoad) send(request dispatch.Request, isStream bool) {
	now := time.Now()
	placed, refusal := l.table.Place(now, request)
	if refusal != "" {
		if l.node.state.Load().order("s") != nil {
			l.refused++
		}
		return
	}
	r := &testLoadRun{placed: placed, isStream: isStream, continued: request.Resumed}
	l.runs[placed.Run] = r
	if placed.Rollout != nil {
		l.manager.RecordSend("s", placed.Rollout.Revision, placed.Group(), r.sample().Route)
		l.sends = append(l.sends, now)
		if placed.Group() == rollout.TargetGroup {
			l.targetSends = append(l.targetSends, now)
		}
	}
	failures, slowdown := 0.004, 1.0
	if f := l.node.site.fault; f != nil && placed.Group() == rollout.TargetGroup && now.After(l.node.site.orderedAt.Add(f.onset)) {
		failures, slowdown = failures+f.failures, f.slowdown
		r.affected = f.slowdown > 1
	}
	if l.random.Float64() < failures {
		r.affected = r.affected || failures > 0.1
		l.after(20*time.Millisecond, func() { l.report(r, dispatch.Failed, 0) })
		return
	}
	first := time.Duration(60 * slowdown * math.Exp(0.5*l.random.NormFloat64()) * float64(time.Millisecond))
	interval := time.Duration(50 * slowdown * math.Exp(0.3*l.random.NormFloat64()) * float64(time.Millisecond))
	if !isStream {
		l.after(first, func() { l.report(r, dispatch.Succeeded, first) })
		return
	}
	l.after(first, func() { l.begin(r, first) })
	l.after(first+20*interval, func() { l.measure(r, interval) })
	l.after(first+r.endsAfter(interval), func() { l.report(r, dispatch.Succeeded, 0) })
}

// begin counts the first event of a stream.
func (l *testLoad) begin(r *testLoadRun, first time.Duration) {
	if r.ended || r.placed.Rollout == nil {
		return
	}
	if r.affected && !r.continued {
		l.badAnswers = append(l.badAnswers, time.Now())
	}
	s := r.sample()
	if !r.continued {
		s.FirstEvent = first
	}
	r.started = true
	l.manager.RecordFirstEvent("s", r.placed.Rollout.Revision, s)
}

// measure counts the time between the events of a stream.
func (l *testLoad) measure(r *testLoadRun, interval time.Duration) {
	if r.ended || r.placed.Rollout == nil {
		return
	}
	s := r.sample()
	s.Interval, r.measured = interval, true
	l.manager.RecordInterval("s", r.placed.Rollout.Revision, s)
}

// report ends a run and counts its outcome.
func (l *testLoad) report(r *testLoadRun, o dispatch.Outcome, first time.Duration) {
	if r.ended {
		return
	}
	l.end(r, o)
	if r.placed.Rollout == nil {
		return
	}
	if r.affected && !r.started {
		l.badAnswers = append(l.badAnswers, time.Now())
	}
	s := r.sample()
	s.Failed, s.FirstEvent = o == dispatch.Failed, first
	l.manager.RecordSample("s", r.placed.Rollout.Revision, s)
}

func (l *testLoad) end(r *testLoadRun, o dispatch.Outcome) {
	r.ended = true
	delete(l.runs, r.placed.Run)
	l.table.Release(time.Now(), r.placed.Run, o)
}

// Progress implements Dispatcher.
func (l *testLoad) Progress(ctx context.Context) ([]dispatch.RolloutProgress, error) {
	reply := make(chan []dispatch.RolloutProgress, 1)
	l.after(0, func() { reply <- l.table.RolloutProgress() })
	select {
	case p := <-reply:
		return p, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SetStopped implements Dispatcher.
func (l *testLoad) SetStopped(service string, orderRevision int64, stopped bool) {
	l.after(0, func() { l.table.SetRolloutStopped(service, orderRevision, stopped) })
}
