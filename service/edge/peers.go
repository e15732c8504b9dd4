package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/gather"
	"azuredyke.dev/azuredyke/transport/peer"
)

const (
	// peersCapacity bounds the queued messages of the task. Further messages are dropped, because newer ones follow.
	peersCapacity = 256
	// Kinds of notices between nodes.
	kindLoadReport = "edge.load_report"
	kindLoadSum    = "edge.load_sum"
	kindOthersLoad = "edge.load_others"
)

// peers is the task that exchanges load with the other nodes.
type peers struct {
	log      *zap.Logger
	hub      *peer.Hub
	self     Member
	cluster  *latest.Value[*clusterState]
	messages mailbox.Mailbox[peersMessage]
	// hints notifies the resyncer of nodes that have a newer revision of the store.
	hints mailbox.Mailbox[revisionHint]

	// ownLoads is the load of this node's requests in flight.
	ownLoads *latest.Value[[]dispatch.Load]
	reporter *gather.Reporter
	sums     *gather.LoadSums
	duty     *gather.RelayDuty
	others   *othersLoadReceiver
	pressure *pressureExchange
	topology topology
	// unserved and servesAll are the results of the duty at the last check.
	unserved, servesAll bool
	// revision is the store's revision up to which this node has all changes.
	revision int64
}

// register installs the handlers. It must be called before the hub runs.
func (p *peers) register() {
	peer.HandleNotice(p.hub, kindLoadReport, func(_ context.Context, from string, m loadReport) {
		p.receive(from, backing.JoinRevision(m.Era, m.Revision), m)
	})
	peer.HandleNotice(p.hub, kindLoadSum, func(_ context.Context, from string, m loadSum) {
		p.receive(from, backing.JoinRevision(m.Era, m.Revision), m)
	})
	peer.HandleNotice(p.hub, kindOthersLoad, func(_ context.Context, from string, m othersLoad) {
		p.receive(from, backing.JoinRevision(m.Era, m.Revision), m)
	})
	p.pressure.register(p)
}

// receive queues a notice for the task. If the sender has a newer revision, it also queues a hint for the resyncer.
func (p *peers) receive(from string, revision int64, m peersMessage) {
	p.messages.TrySend(m)
	if revision > p.cluster.Load().Revision {
		p.hints.TrySend(revisionHint{node: from, revision: revision})
	}
}

// run exchanges load until ctx ends.
func (p *peers) run(ctx context.Context) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	own, ownChanged := p.ownLoads.Watch()
	p.reporter.SetLoad(time.Now(), own)
	_, pressureChanged := p.pressure.own.Watch()
	state, stateChanged := p.cluster.Watch()
	p.applyState(state)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.messages.Receive():
			m.apply(p)
		case <-ownChanged:
			own, ownChanged = p.ownLoads.Watch()
			p.reporter.SetLoad(time.Now(), own)
		case <-pressureChanged:
			_, pressureChanged = p.pressure.own.Watch()
			p.pressure.schedule.Request()
		case <-stateChanged:
			state, stateChanged = p.cluster.Watch()
			p.applyState(state)
		case now := <-expire.C:
			p.sums.Expire(now)
			p.duty.Expire(now)
		case <-timer.C:
		}
		now := time.Now()
		p.checkDuty(now)
		p.sendDue(now)
		timer.Reset(time.Until(p.nextDue(now)))
	}
}

// applyState applies a new topology and revision. New nodes have not received earlier updates, so the next update after a
// change of the nodes is complete.
func (p *peers) applyState(state *clusterState) {
	if state.topology.rank != p.topology.rank {
		p.log.Info("rank among relays changed", zap.Int("from", p.topology.rank), zap.Int("to", state.topology.rank),
			zap.Int("nodes", len(state.Nodes)+1))
	}
	if state.topology.version != p.topology.version {
		p.reporter.RequestFullUpdate()
		p.sums.RequestFullUpdate()
	}
	if state.Revision != p.revision {
		// Notices carry this node's revision, so a node that is behind detects it.
		p.reporter.RequestUpdate()
		p.sums.RequestUpdate()
	}
	p.topology, p.revision = state.topology, state.Revision
	p.duty.SetRank(p.topology.rank)
	p.sums.SetReceivers(len(p.topology.localNodes) + len(p.topology.remoteRelays))
}

// checkDuty reports the loss of the primary relay to the other one. If this node is that one, it starts to send updates.
func (p *peers) checkDuty(now time.Time) {
	if unserved := p.duty.IsUnserved(now); unserved != p.unserved {
		p.unserved = unserved
		p.reporter.RequestUpdate()
		p.log.Info("primary relay lost or regained", zap.Bool("lost", unserved), zap.Int("rank", p.topology.rank))
	}
	servesAll := p.duty.ServesAll(now)
	if servesAll && !p.servesAll {
		p.sums.RequestFullUpdate()
	}
	p.servesAll = servesAll
}

// nextDue returns the time at which the next notice is due or the primary relay counts as silent.
func (p *peers) nextDue(now time.Time) time.Time {
	due := p.reporter.Due()
	if sums := p.sums.Due(); !p.duty.IsIdle(now) && sums.Before(due) {
		due = sums
	}
	if silentAt := p.duty.PrimarySilentAt(); silentAt.After(now) && silentAt.Before(due) {
		due = silentAt
	}
	return p.pressure.nextDue(p, now, due)
}

// sendDue sends the notices that are due.
func (p *peers) sendDue(now time.Time) {
	if !now.Before(p.reporter.Due()) {
		era, number := backing.RevisionEra(p.revision), backing.RevisionNumber(p.revision)
		report := loadReport{Node: p.self.ID, Update: p.reporter.Next(now), Revision: number, Unserved: p.unserved, Era: era}
		for _, m := range p.topology.localRelays {
			peer.Notify(p.hub, m.Address, kindLoadReport, report)
		}
		if p.topology.rank >= 0 {
			p.sums.ApplyNodeUpdate(now, p.self.ID, report.Update)
		}
	}
	if !p.duty.IsIdle(now) && !now.Before(p.sums.Due()) {
		p.relayLoads(now)
	}
	p.pressure.sendDue(p, now)
}

// relayLoads sends the load of this data centre to the relays of the other ones, and to each node of this data
// centre the others' load of that node. A relay that stands in for single nodes sends updates to these only.
func (p *peers) relayLoads(now time.Time) {
	updates := p.sums.Next(now)
	era, number := backing.RevisionEra(p.revision), backing.RevisionNumber(p.revision)
	for _, m := range p.topology.localNodes {
		if p.duty.Serves(now, m.ID) {
			others := othersLoad{Rank: p.topology.rank, Update: updates.ForNode(m.ID), Revision: number, Era: era}
			peer.Notify(p.hub, m.Address, kindOthersLoad, others)
		}
	}
	if !p.duty.ServesAll(now) {
		return
	}
	sum := loadSum{DataCentre: p.self.DataCentre, Update: updates.ForDataCentres(), Revision: number, Relay: p.self.ID, Era: era}
	for _, m := range p.topology.remoteRelays {
		peer.Notify(p.hub, m.Address, kindLoadSum, sum)
	}
	p.others.apply(now, p.topology.rank, updates.ForNode(p.self.ID), true)
}
