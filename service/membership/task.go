package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/decision/ownership"
)

// Error is the class of the errors of this package.
var Error = errs.Class("membership")

const (
	// taskCapacity bounds the waiting messages; probes beyond it wait until their own deadline, pushes are dropped.
	taskCapacity = 1024
	// pushCount is the number of members to which an urgent change is passed on at once; each of them does the same when
	// it is new to it, which reaches 1,500 members in about seven steps.
	pushCount = 3
	// pushGap and publishGap are the least times between two pushes and two published tables, so that many changes at a
	// time cost one message and one table.
	pushGap    = 200 * time.Millisecond
	publishGap = 100 * time.Millisecond
	// helperCount is the number of members that are asked to probe a member that did not answer.
	helperCount = 2
)

// Task is the task that keeps the member table.
type Task struct {
	log       *zap.Logger
	options   Options
	transport Transport
	hosts     *latest.Value[[]message.Host]
	config    *latest.Value[*config.Snapshot]
	holdings  *latest.Value[ownership.Holdings]
	messages  mailbox.Mailbox[taskMessage]
	current   *latest.Value[*membership.Table]

	ctx      context.Context
	view     *membership.View
	running  sync.WaitGroup
	urgent   bool
	dirty    bool
	pushAt   time.Time
	publicAt time.Time
}

// New returns a Task that knows only its own node.
func New(log *zap.Logger, o Options, transport Transport, hosts *latest.Value[[]message.Host],
	current *latest.Value[*config.Snapshot], holdings *latest.Value[ownership.Holdings],
) *Task {
	o = o.withDefaults()
	view := membership.NewView(o.Self, o.Params, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return &Task{
		log: log, options: o, transport: transport, hosts: hosts, config: current, holdings: holdings,
		messages: mailbox.New[taskMessage](taskCapacity), current: latest.New(view.Table()), view: view,
	}
}

// Current holds the member table.
func (t *Task) Current() *latest.Value[*membership.Table] { return t.current }

// Run probes until ctx ends.
func (t *Task) Run(ctx context.Context) {
	t.ctx = ctx
	defer t.running.Wait()
	probe := time.NewTicker(t.options.Interval)
	defer probe.Stop()
	deferred := time.NewTimer(0)
	defer deferred.Stop()
	// Members that start together must not probe in step.
	first := time.After(rand.N(t.options.Interval))
	for {
		hosts, hostsChanged := t.hosts.Watch()
		snapshot, configChanged := t.config.Watch()
		holdings, holdingsChanged := t.holdings.Watch()
		t.view.SetSeeds(hosts)
		t.urgent = t.view.SetLocal(snapshot.Revision(), holdingList(holdings)) || t.urgent
		if wait, ok := t.flush(time.Now()); ok {
			deferred.Reset(wait)
		}
		select {
		case <-ctx.Done():
			return
		case m := <-t.messages.Receive():
			m.apply(t)
		case <-first:
			probe.Reset(t.options.Interval)
			t.probeNext()
		case <-probe.C:
			t.view.Tick(time.Now())
			t.probeNext()
		case <-deferred.C:
		case <-hostsChanged:
		case <-configChanged:
		case <-holdingsChanged:
		}
	}
}

// flush publishes and pushes what is due, and returns the wait until the next is due.
func (t *Task) flush(now time.Time) (time.Duration, bool) {
	t.dirty = t.view.Changed() || t.dirty
	if t.dirty && !now.Before(t.publicAt) {
		t.dirty, t.publicAt = false, now.Add(publishGap)
		t.current.Publish(t.view.Table())
	}
	if t.urgent && !now.Before(t.pushAt) {
		t.urgent, t.pushAt = false, now.Add(pushGap)
		for _, target := range t.view.Others(pushCount) {
			t.transport.Push(target.Address, t.view.Message(target.ID))
		}
	}
	switch {
	case t.dirty && t.urgent:
		return min(t.publicAt.Sub(now), t.pushAt.Sub(now)), true
	case t.dirty:
		return t.publicAt.Sub(now), true
	default:
		return t.pushAt.Sub(now), t.urgent
	}
}

// start runs f beside the task. The task's context ends it.
func (t *Task) start(f func(ctx context.Context)) {
	t.running.Go(func() { f(t.ctx) })
}
