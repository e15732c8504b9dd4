package edge

import (
	"context"
	"slices"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/service/rollout"
	"azuredyke.dev/azuredyke/transport/peer"
)

// Kinds of roll-out notices between nodes.
const (
	kindRolloutReport = "edge.rollout_report"
	kindRolloutSum    = "edge.rollout_sum"
	kindRolloutStop   = "edge.rollout_stop"
)

// rolloutPeers implements rollout.Peers. Counts take the way of the load: nodes send them to the relays of their data centre, and
// relays send sums to the relays of the other ones.
type rolloutPeers struct {
	hub     *peer.Hub
	cluster *latest.Value[*clusterState]
}

// SendReport implements rollout.Peers.
func (p rolloutPeers) SendReport(r rollout.Report, both bool) {
	t := p.cluster.Load().topology
	receivers := t.localRelays
	switch {
	case both:
	case t.rank == 0:
		receivers = nil
	default:
		receivers = receivers[:min(1, len(receivers))]
	}
	notifyAll(p.hub, receivers, kindRolloutReport, r)
}

// SendSum implements rollout.Peers.
func (p rolloutPeers) SendSum(s rollout.Sum) {
	notifyAll(p.hub, p.cluster.Load().topology.remoteRelays, kindRolloutSum, s)
}

// SendStop implements rollout.Peers.
func (p rolloutPeers) SendStop(s rollout.Stop) {
	t := p.cluster.Load().topology
	notifyAll(p.hub, slices.Concat(t.localNodes, t.remoteRelays), kindRolloutStop, s)
}

// ForwardStop implements rollout.Peers.
func (p rolloutPeers) ForwardStop(s rollout.Stop) {
	if t := p.cluster.Load().topology; t.rank >= 0 {
		notifyAll(p.hub, t.localNodes, kindRolloutStop, s)
	}
}

// isLocal reports whether a node is in this data centre.
func (p rolloutPeers) isLocal(node string) bool {
	return slices.ContainsFunc(p.cluster.Load().topology.localNodes, func(m Member) bool { return m.ID == node })
}

func notifyAll[M any](hub *peer.Hub, receivers []Member, kind string, m M) {
	for _, receiver := range receivers {
		peer.Notify(hub, receiver.Address, kind, m)
	}
}

// handleRollouts installs the handlers for roll-out notices of other nodes. It must be called before the hub runs. A stop notice of
// another data centre is passed on.
func handleRollouts(p rolloutPeers, manager *rollout.Manager) {
	peer.HandleNotice(p.hub, kindRolloutReport, func(_ context.Context, _ string, r rollout.Report) { manager.OfferReport(r) })
	peer.HandleNotice(p.hub, kindRolloutSum, func(_ context.Context, _ string, s rollout.Sum) { manager.OfferSum(s) })
	peer.HandleNotice(p.hub, kindRolloutStop, func(_ context.Context, from string, s rollout.Stop) {
		manager.OfferStop(s)
		if !p.isLocal(from) {
			p.ForwardStop(s)
		}
	})
}
