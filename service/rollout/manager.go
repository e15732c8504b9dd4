package rollout

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/rollout"
)

const (
	// managerCapacity is the number of messages that the mailbox holds. While it is full, outcomes and messages of other nodes are
	// dropped: a count that is missing weakens the evidence, and newer messages replace older ones.
	managerCapacity = 1024
	// reportInterval is the interval at which counts that have changed are sent, while an order is open.
	reportInterval = 250 * time.Millisecond
	// nodesPerInterval is the number of nodes of a data centre for which the interval grows by reportInterval, so that its relays get at
	// most 600 reports a second, and a node of a large fleet sends 2 KB/s.
	nodesPerInterval = 150
	// repeatInterval is the interval at which unchanged counts are sent again, since messages may be lost, and at which the second
	// relay gets them.
	repeatInterval = time.Second
	// progressTimeout bounds the question to the dispatcher.
	progressTimeout = 100 * time.Millisecond
	// stopTTL is the time for which a stop notice holds. It is repeated every decideInterval.
	stopTTL = 1500 * time.Millisecond
)

// Manager is the task that owns the counts of this process and, on a relay, those of its data centre and the others.
type Manager struct {
	log        *zap.Logger
	node       string
	cluster    Cluster
	dispatcher Dispatcher
	peers      Peers
	now        func() time.Time
	metrics    *managerMetrics
	messages   mailbox.Mailbox[taskMessage]
	// overviews publishes the state for operators.
	overviews *latest.Value[[]Overview]

	epoch, sequence uint64
	state           *State
	counts          map[string]*serviceCounts
	local           *relayCounts
	remote          *remoteSums
	progress        []dispatch.RolloutProgress
	// changed and sumChanged are set when counts have changed since they were last sent, at reportedAt and summedAt. repeatedAt is the
	// time at which both relays got the counts.
	changed, sumChanged              bool
	reportedAt, summedAt, repeatedAt time.Time
}

// NewManager returns a Manager without counts. now returns the time on a clock that includes suspensions.
func NewManager(log *zap.Logger, node string, cluster Cluster, dispatcher Dispatcher, peers Peers, now func() time.Time, scope tally.Scope) *Manager {
	return &Manager{
		log: log, node: node, cluster: cluster, dispatcher: dispatcher, peers: peers, now: now, metrics: newManagerMetrics(scope),
		messages: mailbox.New[taskMessage](managerCapacity), overviews: latest.New[[]Overview](nil), epoch: rand.Uint64(),
		counts: map[string]*serviceCounts{}, local: newRelayCounts(), remote: newRemoteSums(),
	}
}

// OfferReport adds the counts of another process of this data centre.
func (m *Manager) OfferReport(r Report) { m.offer(reportMessage{report: r}) }

// OfferSum adds the counts of another data centre.
func (m *Manager) OfferSum(s Sum) { m.offer(sumMessage{sum: s}) }

// OfferStop applies a stop notice.
func (m *Manager) OfferStop(s Stop) { m.offer(stopMessage{stop: s}) }

// Overviews returns the state of the roll-outs for operators.
func (m *Manager) Overviews() []Overview { return m.overviews.Load() }

// Evidence returns what this relay knows of a roll-out. An error means that ctx ended first.
func (m *Manager) Evidence(ctx context.Context, p *rollout.Plan) (rollout.Evidence, error) {
	return mailbox.Call(ctx, m.messages, func(reply chan<- rollout.Evidence) taskMessage {
		return evidenceMessage{key: rolloutKey{p.Order.Service, p.Order.Revision}, plan: p, reply: reply}
	})
}

func (m *Manager) offer(message taskMessage) {
	if !m.messages.TrySend(message) {
		m.metrics.dropped.Inc(1)
	}
}

// Run handles messages until ctx ends. The interval runs only while an order is open.
func (m *Manager) Run(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	tick.Stop()
	defer tick.Stop()
	ticking := false
	state, changed := m.cluster.Watch()
	for {
		m.applyState(state)
		if open := len(m.state.openServices()) > 0; open != ticking {
			if ticking = open; open {
				tick.Reset(reportInterval)
			} else {
				tick.Stop()
				m.finish()
			}
		}
		select {
		case <-ctx.Done():
			return
		case message := <-m.messages.Receive():
			message.apply(m.now(), m)
		case <-changed:
			state, changed = m.cluster.Watch()
		case <-tick.C:
			m.report(ctx)
		}
	}
}

// applyState follows the orders. A repeated order for the same target goes on with the counts, and its age starts anew.
func (m *Manager) applyState(s *State) {
	if s == m.state {
		return
	}
	m.state = s
	now := m.now()
	for service, o := range s.Fleet.Orders {
		known := m.counts[service]
		if known != nil && known.order.Revision >= o.Revision {
			continue
		}
		next := &serviceCounts{order: o, seenAt: now}
		if known != nil && known.order.Target == o.Target && (s.plan(service) == nil || s.plan(service).Phase != rollout.Reverted) {
			next.previous, next.tally, next.stoppedUntil = known.order.Revision, known.tally, known.stoppedUntil
		}
		m.counts[service], m.changed = next, true
		m.log.Info("order of a roll-out seen", next.fields(now)...)
	}
	maps.DeleteFunc(m.counts, func(service string, _ *serviceCounts) bool {
		p := s.plan(service)
		return s.order(service) == nil && (p == nil || p.Phase.IsFinal())
	})
	m.local.keep(m.keys())
	if len(m.counts) == 0 {
		m.remote = newRemoteSums()
	}
	m.metrics.open.Update(float64(len(s.openServices())))
	m.publish(now)
}

// keys returns the roll-outs that are counted.
func (m *Manager) keys() []rolloutKey {
	var keys []rolloutKey
	for service, c := range m.counts {
		keys = append(keys, rolloutKey{service, c.order.Revision})
	}
	return keys
}

// planRevision returns the revision of the order for which the plan of a service was made; 0 without a plan.
func (m *Manager) planRevision(service string) int64 {
	if p := m.state.plan(service); p != nil {
		return p.Order.Revision
	}
	return 0
}

// finish publishes the last state of the roll-outs once none is open.
func (m *Manager) finish() {
	m.progress = nil
	m.publish(m.now())
}

// report sends the counts that are due and ends the stop notices that were not repeated.
func (m *Manager) report(ctx context.Context) {
	m.askDispatcher(ctx)
	now := m.now()
	for service, c := range m.counts {
		if !c.stoppedUntil.IsZero() && now.After(c.stoppedUntil) {
			c.stoppedUntil = time.Time{}
			m.log.Info("the decider writes plans again or was replaced; the plan applies", c.fields(now)...)
			m.dispatcher.SetStopped(service, m.planRevision(service), false)
		}
	}
	// Half an interval is left out, since ticks are not exact.
	spacing := reportInterval*time.Duration(1+len(m.state.LocalNodes)/nodesPerInterval) - reportInterval/2
	both := now.Sub(m.repeatedAt) >= repeatInterval
	if both || m.changed && now.Sub(m.reportedAt) >= spacing {
		r := m.ownReport(now)
		m.changed, m.reportedAt = false, now
		if both {
			m.repeatedAt = now
		}
		m.metrics.reports.Inc(1)
		if m.state.Rank >= 0 {
			m.local.apply(r)
			m.sumChanged = true
		}
		m.peers.SendReport(r, both)
	}
	if m.state.Rank >= 0 && (m.sumChanged || now.Sub(m.summedAt) >= repeatInterval) {
		m.sumChanged, m.summedAt = false, now
		m.metrics.sums.Inc(1)
		m.peers.SendSum(m.ownSum())
	}
	m.publish(now)
}

// askDispatcher reads how far the placement has followed the plans. Without an answer, the last one stays: it confirms less.
func (m *Manager) askDispatcher(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, progressTimeout)
	defer cancel()
	progress, err := m.dispatcher.Progress(ctx)
	if err != nil {
		return
	}
	if len(progress) != len(m.progress) {
		m.changed = true
	}
	for i := range min(len(progress), len(m.progress)) {
		m.changed = m.changed || progress[i] != m.progress[i]
	}
	m.progress = progress
}
