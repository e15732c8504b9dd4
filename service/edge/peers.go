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
	// loadInterval is how often nodes tell what they have in flight. A sum reaches a node over two relays, and a prompt takes
	// some 200 ms to compute.
	loadInterval = 50 * time.Millisecond
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

	sums *gather.Sums
	// heardFirst is when the relay in charge was last heard.
	heardFirst time.Time
	rank       int
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
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.messages.Receive():
			m.apply(p)
		case <-tick.C:
			p.exchange(ctx)
		}
	}
}

// exchange tells the others what they need to know.
func (p *peers) exchange(ctx context.Context) {
	k := p.known.Load()
	nodes := k.Nodes
	if len(nodes) == 0 {
		return
	}
	own, err := mailbox.Call(ctx, p.dispatcher, func(reply chan<- []dispatch.Load) dispatcherMessage {
		return ownLoadMessage{reply: reply}
	})
	if err != nil {
		return
	}
	t := k.topology
	if t.rank != p.rank {
		p.log.Info("rank among relays changed", zap.Int("from", p.rank), zap.Int("to", t.rank), zap.Int("nodes", len(nodes)+1))
		p.rank = t.rank
	}
	report := loadReport{Node: p.self.ID, Loads: own, Position: k.Position}
	for _, m := range t.relays {
		peer.Notify(p.hub, m.Address, kindLoadReport, report)
	}
	if t.rank >= 0 {
		p.relay(t, report)
	}
}

// relay passes sums on.
func (p *peers) relay(t topology, own loadReport) {
	now := time.Now()
	p.sums.Report(now, own.Node, own.Loads)
	sum := loadSum{DataCentre: p.self.DataCentre, Loads: p.sums.Own(now), Position: own.Position}
	for _, m := range t.remote {
		peer.Notify(p.hub, m.Address, kindLoadSum, sum)
	}
	for _, m := range t.local {
		peer.Notify(p.hub, m.Address, kindLoadOthers, loadOthers{Rank: t.rank, Loads: p.sums.Others(now, m.ID), Position: own.Position})
	}
	loadOthers{Rank: 0, Loads: p.sums.Others(now, p.self.ID)}.apply(p)
}
