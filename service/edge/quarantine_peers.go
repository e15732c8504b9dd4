package edge

import (
	"context"
	"fmt"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/rendezvous"
	decision "azuredyke.dev/azuredyke/decision/quarantine"
	"azuredyke.dev/azuredyke/service/quarantine"
	"azuredyke.dev/azuredyke/transport/peer"
)

// Kinds of quarantine messages between nodes.
const (
	kindQuarantineReserve = "edge.quarantine_reserve"
	kindQuarantineRelease = "edge.quarantine_release"
	kindQuarantineMarks   = "edge.quarantine_marks"
)

// quarantinePeers implements quarantine.Peers. Marks take the way of the load: a node sends them to the relays of its data
// centre, and a relay sends the marks that are new to it to the nodes of its data centre and to the other relays.
type quarantinePeers struct {
	hub     *peer.Hub
	self    Member
	cluster *latest.Value[*clusterState]
}

// HomeNode implements quarantine.Peers.
func (p quarantinePeers) HomeNode(f decision.Fingerprint) (string, bool) {
	nodes := p.cluster.Load().Nodes
	ids, addresses := []string{p.self.ID}, map[string]string{}
	for _, m := range nodes {
		ids = append(ids, m.ID)
		addresses[m.ID] = m.Address
	}
	home := rendezvous.First(fmt.Sprint(f), ids)
	return addresses[home], home != p.self.ID
}

// Reserve implements quarantine.Peers.
func (p quarantinePeers) Reserve(ctx context.Context, address string, m decision.Mark) (decision.Standing, error) {
	return peer.Call[decision.Mark, decision.Standing](ctx, p.hub, address, kindQuarantineReserve, m)
}

// Release implements quarantine.Peers. If the notice is lost, the trial stays reserved until it times out.
func (p quarantinePeers) Release(_ context.Context, address string, f decision.Fingerprint) {
	peer.Notify(p.hub, address, kindQuarantineRelease, f)
}

// Broadcast implements quarantine.Peers. It does not wait for answers: a lost notice is replaced by the next repetition.
func (p quarantinePeers) Broadcast(_ context.Context, marks []decision.Mark) { p.notify(marks) }

// Forward implements quarantine.Peers.
func (p quarantinePeers) Forward(marks []decision.Mark) {
	if p.cluster.Load().topology.rank >= 0 {
		p.notify(marks)
	}
}

// Repeat implements quarantine.Peers.
func (p quarantinePeers) Repeat(marks []decision.Mark) { p.notify(marks) }

func (p quarantinePeers) notify(marks []decision.Mark) {
	notifyAll(p.hub, p.cluster.Load().topology.noticeReceivers(), kindQuarantineMarks, marks)
}

// handleQuarantine installs the handlers for quarantine messages of other nodes. It must be called before the hub runs.
func handleQuarantine(hub *peer.Hub, manager *quarantine.Manager) {
	peer.Handle(hub, kindQuarantineReserve, 0, func(ctx context.Context, _ string, m decision.Mark) (decision.Standing, error) {
		return manager.Reserve(ctx, m), nil
	})
	peer.HandleNotice(hub, kindQuarantineRelease, func(_ context.Context, _ string, f decision.Fingerprint) { manager.OfferRelease(f) })
	peer.HandleNotice(hub, kindQuarantineMarks, func(_ context.Context, _ string, marks []decision.Mark) { manager.Offer(marks) })
}
