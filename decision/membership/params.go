package membership

import (
	"cmp"
	"time"
)

// Params are the bounds of membership. The zero value of a field takes its default.
type Params struct {
	// RemoveAfter is how long a member may be suspect before the member whose probe failed removes it. Members that only
	// heard of the suspicion wait removeFactor times as long.
	RemoveAfter time.Duration
	// Retention is how long a removed or departed member is remembered, and a removed one probed again.
	Retention time.Duration
	// SyncInterval is the least time between two full exchanges that a node starts.
	SyncInterval time.Duration
	// RotateInterval is how often one member of the probe window is exchanged.
	RotateInterval time.Duration
	// MessageBytes bounds the updates of one message, SyncBytes those of one part of a full exchange.
	MessageBytes int
	SyncBytes    int
	// Window is the number of members that are probed in turn.
	Window int
}

// Defaults of Params.
const (
	DefaultRemoveAfter = 15 * time.Second
	// DefaultRetention exceeds the hour for which regions may be cut off from each other, so that both sides still try.
	DefaultRetention      = 2 * time.Hour
	DefaultSyncInterval   = 10 * time.Second
	DefaultRotateInterval = 10 * time.Second
	// DefaultMessageBytes keeps two messages a second within 2 KB/s.
	DefaultMessageBytes = 900
	DefaultSyncBytes    = 8 << 10
	// DefaultWindow bounds the open links of a node at any size of the fleet; with a random window of 32, the chance that
	// no one probes a member is e^-32.
	DefaultWindow = 32
)

const (
	removeFactor = 4
	// isolationFailures is the number of different members that must fail to answer in a row before this node takes itself
	// for the isolated one and stops judging others.
	isolationFailures = 3
	// reprobeEvery is the share of probes, one in so many, that go to removed members and unknown hosts.
	reprobeEvery = 10
	// spreadFactor times log10 of the members is the number of messages that carry a change.
	spreadFactor = 4
	// maxMembers bounds the records that are kept.
	maxMembers = 16384
)

func (p Params) withDefaults() Params {
	p.RemoveAfter = cmp.Or(p.RemoveAfter, DefaultRemoveAfter)
	p.Retention = cmp.Or(p.Retention, DefaultRetention)
	p.SyncInterval = cmp.Or(p.SyncInterval, DefaultSyncInterval)
	p.RotateInterval = cmp.Or(p.RotateInterval, DefaultRotateInterval)
	p.MessageBytes = cmp.Or(p.MessageBytes, DefaultMessageBytes)
	p.SyncBytes = cmp.Or(p.SyncBytes, DefaultSyncBytes)
	p.Window = cmp.Or(p.Window, DefaultWindow)
	return p
}
