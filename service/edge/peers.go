package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/gather"
	"azuredyke.dev/azuredyke/transport/peer"
)

const (
	// peersCapacity bounds the waiting messages of the task; further ones are dropped, since newer ones follow.
	peersCapacity = 256
	// Kinds of notices between nodes.
	kindLoadReport = "edge.load_report"
	kindLoadSum    = "edge.load_sum"
	kindLoadOthers = "edge.load_others"
)

// peers is the task that exchanges with the other nodes what each has in flight.
type peers struct {
	log        *zap.Logger
	hub        *peer.Hub
	self       Member
	known      *latest.Value[*Knowledge]
	messages   mailbox.Mailbox[peersMessage]
	dispatcher mailbox.Mailbox[dispatcherMessage]
	// hints tells the catch-up task of nodes that know more of the store.
	hints mailbox.Mailbox[hint]

	// own is what this node has in flight.
	own      *latest.Value[[]dispatch.Load]
	reporter *gather.Reporter
	sums     *gather.Sums
	// images are what the relays of the own data centre have told, by rank.
	images [gather.RelaysPerDataCentre]gather.Image
	// heardFirst is when the relay in charge was last heard.
	heardFirst time.Time
	topology   topology
	// position is the revision of the store up to which this node knows everything.
	position int64
}

// register installs the handlers; it is called before the hub runs.
func (p *peers) register() {
	peer.HandleNotice(p.hub, kindLoadReport, 0, func(_ context.Context, from string, m loadReport) { p.receive(from, m.Position, m) })
	peer.HandleNotice(p.hub, kindLoadSum, 0, func(_ context.Context, from string, m loadSum) { p.receive(from, m.Position, m) })
	peer.HandleNotice(p.hub, kindLoadOthers, 0, func(_ context.Context, from string, m loadOthers) { p.receive(from, m.Position, m) })
}

// receive hands a notice to the task, and its position to the catch-up task if the sender knows more.
func (p *peers) receive(from string, position int64, m peersMessage) {
	p.messages.TrySend(m)
	if position > p.known.Load().Position {
		p.hints.TrySend(hint{node: from, position: position})
	}
}

// run exchanges until ctx ends.
func (p *peers) run(ctx context.Context) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	own, changed := p.own.Watch()
	p.reporter.Note(time.Now(), own)
	known, learned := p.known.Watch()
	p.learn(known)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.messages.Receive():
			m.apply(p)
		case <-changed:
			own, changed = p.own.Watch()
			p.reporter.Note(time.Now(), own)
		case <-learned:
			known, learned = p.known.Watch()
			p.learn(known)
		case now := <-expire.C:
			p.sums.Expire(now)
		case <-timer.C:
		}
		p.exchange()
		timer.Reset(time.Until(p.due()))
	}
}

// learn takes over which nodes there are. Nodes that are new know nothing of earlier updates.
func (p *peers) learn(k *Knowledge) {
	if k.topology.rank != p.topology.rank {
		p.log.Info("rank among relays changed", zap.Int("from", p.topology.rank), zap.Int("to", k.topology.rank), zap.Int("nodes", len(k.Nodes)+1))
	}
	if k.topology.version != p.topology.version {
		p.reporter.Refresh()
		p.sums.Refresh()
	}
	if k.Position != p.position {
		// Notices carry the revision that this node knows.
		p.reporter.Announce()
		p.sums.Announce()
	}
	p.topology, p.position = k.topology, k.Position
}

// due returns when something is to be sent.
func (p *peers) due() time.Time {
	at := p.reporter.Due()
	if sums := p.sums.Due(); p.topology.rank >= 0 && sums.Before(at) {
		return sums
	}
	return at
}

// exchange tells the others what is due.
func (p *peers) exchange() {
	now := time.Now()
	if !now.Before(p.reporter.Due()) {
		report := loadReport{Node: p.self.ID, Update: p.reporter.Next(now), Position: p.position}
		for _, m := range p.topology.relays {
			peer.Notify(p.hub, m.Address, kindLoadReport, report)
		}
		if p.topology.rank >= 0 {
			p.sums.Report(now, p.self.ID, report.Update)
		}
	}
	if p.topology.rank >= 0 && !now.Before(p.sums.Due()) {
		p.relay(now)
	}
}

// relay passes sums on.
func (p *peers) relay(now time.Time) {
	updates := p.sums.Next(now)
	sum := loadSum{DataCentre: p.self.DataCentre, Update: updates.OfDataCentre(), Position: p.position, Relay: p.self.ID}
	for _, m := range p.topology.remote {
		peer.Notify(p.hub, m.Address, kindLoadSum, sum)
	}
	for _, m := range p.topology.local {
		others := loadOthers{Rank: p.topology.rank, Update: updates.For(m.ID), Position: p.position}
		peer.Notify(p.hub, m.Address, kindLoadOthers, others)
	}
	p.heardFirst = now
	p.dispatcher.TrySend(othersMessage{loads: p.sums.Others(p.self.ID)})
}
