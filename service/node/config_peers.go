package node

import (
	"context"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/service/configuration"
	"azuredyke.dev/azuredyke/transport/peer"
)

// Kinds of configuration messages.
const (
	kindConfigPull   = "config.pull"
	kindConfigNotice = "config.notice"
)

// configPeers exchanges configurations with other nodes over the peer links.
type configPeers struct {
	hub     *peer.Hub
	members *latest.Value[[]configuration.Member]
}

// Members implements configuration.Peers.
func (p configPeers) Members() *latest.Value[[]configuration.Member] { return p.members }

// Pull implements configuration.Peers.
func (p configPeers) Pull(ctx context.Context, address string, have int64) (configuration.PullReply, error) {
	return peer.Call[int64, configuration.PullReply](ctx, p.hub, address, kindConfigPull, have)
}

// Notify implements configuration.Peers.
func (p configPeers) Notify(address string, n configuration.Notice) {
	peer.Notify(p.hub, address, kindConfigNotice, n)
}

// handleConfig registers the handlers for configuration messages of other nodes.
func handleConfig(hub *peer.Hub, manager *configuration.Manager, d *configuration.Distributor) {
	peer.Handle(hub, kindConfigPull, 0, func(_ context.Context, _ string, have int64) (configuration.PullReply, error) {
		return manager.AnswerPull(have), nil
	})
	peer.HandleNotice(hub, kindConfigNotice, func(_ context.Context, _ string, n configuration.Notice) { d.ReceiveNotice(n) })
}
