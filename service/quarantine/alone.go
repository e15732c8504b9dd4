package quarantine

import (
	"context"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// Alone implements Peers for a node without other nodes.
type Alone struct{}

// Home implements Peers.
func (Alone) Home(quarantine.Fingerprint) (string, bool) { return "", false }

// Reserve implements Peers. It is never called, since this node is the home node of every fingerprint.
func (Alone) Reserve(context.Context, string, quarantine.Mark) (quarantine.Standing, error) {
	return quarantine.Busy, nil
}

// Finished implements Peers.
func (Alone) Finished(context.Context, string, quarantine.Fingerprint, bool) {}

// Broadcast implements Peers.
func (Alone) Broadcast(context.Context, quarantine.Mark) {}
