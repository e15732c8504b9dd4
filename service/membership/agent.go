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
	// mailboxCapacity is the number of messages that the mailbox holds. When it is full, probes wait until their deadline
	// and pushes are dropped.
	mailboxCapacity = 1024
	// pushFanout is the number of members to which a node pushes an urgent change. Each of them pushes the change again if
	// it is new there, which reaches 1,500 members in about seven steps.
	pushFanout = 3
	// minPushInterval and minPublishInterval are the shortest intervals between two pushes and between two published tables,
	// so that a burst of changes costs one push and one table.
	minPushInterval    = 200 * time.Millisecond
	minPublishInterval = 100 * time.Millisecond
	// helperCount is the number of members that probe a member that did not answer a direct probe.
	helperCount = 2
)

// Agent is the task that maintains the member table.
type Agent struct {
	log       *zap.Logger
	options   Options
	transport Transport
	hosts     *latest.Value[[]message.Host]
	config    *latest.Value[*config.Snapshot]
	holdings  *latest.Value[ownership.Holdings]
	messages  mailbox.Mailbox[taskMessage]
	current   *latest.Value[*membership.Table]

	ctx     context.Context
	view    *membership.View
	running sync.WaitGroup
	// urgent is set while a change is waiting to be pushed, and dirty while a changed table is waiting to be published.
	urgent      bool
	dirty       bool
	nextPush    time.Time
	nextPublish time.Time
}

// NewAgent returns an Agent whose table holds only its own node. The current value is the configuration in force.
func NewAgent(log *zap.Logger, o Options, transport Transport, hosts *latest.Value[[]message.Host],
	current *latest.Value[*config.Snapshot], holdings *latest.Value[ownership.Holdings],
) *Agent {
	o = o.withDefaults()
	view := membership.NewView(o.Self, o.Params, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return &Agent{
		log: log, options: o, transport: transport, hosts: hosts, config: current, holdings: holdings,
		messages: mailbox.New[taskMessage](mailboxCapacity), current: latest.New(view.Table()), view: view,
	}
}

// Current returns the member table.
func (a *Agent) Current() *latest.Value[*membership.Table] { return a.current }

// Run probes other members and handles messages until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	a.ctx = ctx
	defer a.running.Wait()
	probe := time.NewTicker(a.options.Interval)
	defer probe.Stop()
	deferred := time.NewTimer(0)
	defer deferred.Stop()
	// The random delay keeps members that start together from probing at the same time.
	first := time.After(rand.N(a.options.Interval))
	for {
		hosts, hostsChanged := a.hosts.Watch()
		snapshot, configChanged := a.config.Watch()
		holdings, holdingsChanged := a.holdings.Watch()
		a.view.SetSeeds(hosts)
		a.urgent = a.view.SetLocal(snapshot.Revision(), holdingList(holdings)) || a.urgent
		if wait, ok := a.flush(time.Now()); ok {
			deferred.Reset(wait)
		}
		select {
		case <-ctx.Done():
			return
		case m := <-a.messages.Receive():
			m.apply(a)
		case <-first:
			probe.Reset(a.options.Interval)
			a.probeNext()
		case <-probe.C:
			a.view.Tick(time.Now())
			a.probeNext()
		case <-deferred.C:
		case <-hostsChanged:
		case <-configChanged:
		case <-holdingsChanged:
		}
	}
}

// flush publishes the table and pushes changes if they are due. It returns the time until the next publication or push,
// and whether one is pending.
func (a *Agent) flush(now time.Time) (time.Duration, bool) {
	a.dirty = a.view.ResetChanged() || a.dirty
	if a.dirty && !now.Before(a.nextPublish) {
		a.dirty, a.nextPublish = false, now.Add(minPublishInterval)
		a.current.Publish(a.view.Table())
	}
	if a.urgent && !now.Before(a.nextPush) {
		a.urgent, a.nextPush = false, now.Add(minPushInterval)
		for _, target := range a.view.RandomMembers(pushFanout) {
			a.transport.Push(target.Address, a.view.Message(target.ID))
		}
	}
	switch {
	case a.dirty && a.urgent:
		return min(a.nextPublish.Sub(now), a.nextPush.Sub(now)), true
	case a.dirty:
		return a.nextPublish.Sub(now), true
	default:
		return a.nextPush.Sub(now), a.urgent
	}
}

// startCall runs f in a goroutine with the context of Run.
func (a *Agent) startCall(f func(ctx context.Context)) {
	a.running.Go(func() { f(a.ctx) })
}
