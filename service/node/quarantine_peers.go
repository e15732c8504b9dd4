package node

import (
	"context"
	"fmt"
	"sync"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/rendezvous"
	"azuredyke.dev/azuredyke/decision/membership"
	decision "azuredyke.dev/azuredyke/decision/quarantine"
	"azuredyke.dev/azuredyke/service/quarantine"
	"azuredyke.dev/azuredyke/transport/peer"
)

// Kinds of quarantine messages.
const (
	kindQuarantineReserve = "quarantine.reserve"
	kindQuarantineRunEnd  = "quarantine.finished"
	kindQuarantineMark    = "quarantine.mark"
)

// suspectOutcome reports whether the reserved run of a suspect request completed.
type suspectOutcome struct {
	Fingerprint decision.Fingerprint
	Completed   bool
}

// quarantinePeers calls the quarantine managers of other nodes over the peer links.
type quarantinePeers struct {
	hub   *peer.Hub
	table *latest.Value[*membership.Table]
}

// HomeNode implements quarantine.Peers.
func (p quarantinePeers) HomeNode(f decision.Fingerprint) (string, bool) {
	t := p.table.Load()
	home, ok := t.Member(rendezvous.First(fmt.Sprint(f), aliveIDs(t)))
	return home.Address, ok && home.ID != t.Self().ID
}

// Reserve implements quarantine.Peers.
func (p quarantinePeers) Reserve(ctx context.Context, address string, m decision.Mark) (decision.Standing, error) {
	return peer.Call[decision.Mark, decision.Standing](ctx, p.hub, address, kindQuarantineReserve, m)
}

// ReportRunEnd implements quarantine.Peers. If the call fails, the suspect request stays reserved until its mark expires.
func (p quarantinePeers) ReportRunEnd(ctx context.Context, address string, f decision.Fingerprint, completed bool) {
	_, _ = peer.Call[suspectOutcome, bool](ctx, p.hub, address, kindQuarantineRunEnd,
		suspectOutcome{Fingerprint: f, Completed: completed})
}

// Broadcast implements quarantine.Peers.
func (p quarantinePeers) Broadcast(ctx context.Context, m decision.Mark) {
	t := p.table.Load()
	var calls sync.WaitGroup
	for _, member := range t.Alive() {
		if member.ID == t.Self().ID {
			continue
		}
		calls.Go(func() {
			_, _ = peer.Call[decision.Mark, bool](ctx, p.hub, member.Address, kindQuarantineMark, m)
		})
	}
	calls.Wait()
}

// handleQuarantine registers the handlers for quarantine messages of other nodes.
func handleQuarantine(hub *peer.Hub, manager *quarantine.Manager) {
	peer.Handle(hub, kindQuarantineReserve, 0, func(ctx context.Context, _ string, m decision.Mark) (decision.Standing, error) {
		return manager.Reserve(ctx, m), nil
	})
	peer.Handle(hub, kindQuarantineRunEnd, 0, func(ctx context.Context, _ string, e suspectOutcome) (bool, error) {
		return true, manager.ApplyRunEnd(ctx, e.Fingerprint, e.Completed)
	})
	peer.Handle(hub, kindQuarantineMark, 0, func(ctx context.Context, _ string, m decision.Mark) (bool, error) {
		return true, manager.Merge(ctx, m)
	})
}
