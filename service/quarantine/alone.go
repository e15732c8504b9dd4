package quarantine

import (
	"context"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// Alone is the Peers of a node without peers.
type Alone struct{}

// Home implements Peers.
func (Alone) Home(quarantine.Fingerprint) (string, bool) { return "", false }

// Reserve implements Peers; it is never called, since every home is local.
func (Alone) Reserve(context.Context, string, quarantine.Mark) (quarantine.Standing, error) {
	return quarantine.Busy, nil
}

// Finished implements Peers.
func (Alone) Finished(context.Context, string, quarantine.Fingerprint, bool) {}

// Broadcast implements Peers.
func (Alone) Broadcast(context.Context, quarantine.Mark) {}
