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
	kindQuarantineRelease = "quarantine.release"
	kindQuarantineMarks   = "quarantine.marks"
)

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

// Release implements quarantine.Peers. If the call fails, the trial stays reserved until it times out.
func (p quarantinePeers) Release(ctx context.Context, address string, f decision.Fingerprint) {
	_, _ = peer.Call[decision.Fingerprint, bool](ctx, p.hub, address, kindQuarantineRelease, f)
}

// Broadcast implements quarantine.Peers.
func (p quarantinePeers) Broadcast(ctx context.Context, marks []decision.Mark) {
	t := p.table.Load()
	var calls sync.WaitGroup
	for _, member := range t.Alive() {
		if member.ID == t.Self().ID {
			continue
		}
		calls.Go(func() {
			_, _ = peer.Call[[]decision.Mark, bool](ctx, p.hub, member.Address, kindQuarantineMarks, marks)
		})
	}
	calls.Wait()
}

// Forward implements quarantine.Peers. The node that changed a mark sends it to all members itself.
func (p quarantinePeers) Forward([]decision.Mark) {}

// Repeat implements quarantine.Peers. Each member is called by Broadcast, so marks are not repeated. A member that could not be
// reached learns of the fingerprint when one of its own endpoints crashes under it.
func (p quarantinePeers) Repeat([]decision.Mark) {}

// handleQuarantine registers the handlers for quarantine messages of other nodes.
func handleQuarantine(hub *peer.Hub, manager *quarantine.Manager) {
	peer.Handle(hub, kindQuarantineReserve, 0, func(ctx context.Context, _ string, m decision.Mark) (decision.Standing, error) {
		return manager.Reserve(ctx, m), nil
	})
	peer.Handle(hub, kindQuarantineRelease, 0, func(ctx context.Context, _ string, f decision.Fingerprint) (bool, error) {
		return true, manager.ApplyRelease(ctx, f)
	})
	peer.Handle(hub, kindQuarantineMarks, 0, func(ctx context.Context, _ string, marks []decision.Mark) (bool, error) {
		return true, manager.Merge(ctx, marks)
	})
}
