package quarantine

import (
	"context"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// NoPeers implements Peers for a node without other nodes.
type NoPeers struct{}

// HomeNode implements Peers.
func (NoPeers) HomeNode(quarantine.Fingerprint) (string, bool) { return "", false }

// Reserve implements Peers. It is never called, since this node is the home node of every fingerprint.
func (NoPeers) Reserve(context.Context, string, quarantine.Mark) (quarantine.Standing, error) {
	return quarantine.Busy, nil
}

// Release implements Peers.
func (NoPeers) Release(context.Context, string, quarantine.Fingerprint) {}

// Broadcast implements Peers.
func (NoPeers) Broadcast(context.Context, []quarantine.Mark) {}

// Forward implements Peers.
func (NoPeers) Forward([]quarantine.Mark) {}

// Repeat implements Peers.
func (NoPeers) Repeat([]quarantine.Mark) {}
