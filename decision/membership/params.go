package membership

import (
	"cmp"
	"time"
)

// Params holds the time limits and bounds of a View. A zero field stands for its default.
type Params struct {
	// RemoveAfter is the time for which a member may be suspect before a node whose own probe failed removes it. A node that
	// received the suspicion from another member waits indirectRemoveFactor times as long.
	RemoveAfter time.Duration
	// Retention is the time for which the record of a removed or departed member is kept. Until its end, a removed member
	// is probed again.
	Retention time.Duration
	// SyncInterval is the minimum time between two full exchanges that a node starts.
	SyncInterval time.Duration
	// RotateInterval is the interval at which one member of the probe window is replaced.
	RotateInterval time.Duration
	// MessageBytes bounds the updates of one message, in bytes.
	MessageBytes int
	// SyncBytes bounds the updates of one reply in a full exchange, in bytes.
	SyncBytes int
	// Window is the number of members in the probe window, which are probed in random order.
	Window int
}

// Defaults of Params.
const (
	DefaultRemoveAfter = 15 * time.Second
	// DefaultRetention exceeds the hour for which regions may be partitioned, so that both sides still probe each other
	// when the partition ends.
	DefaultRetention      = 2 * time.Hour
	DefaultSyncInterval   = 10 * time.Second
	DefaultRotateInterval = 10 * time.Second
	// DefaultMessageBytes keeps two messages per second below 2 KB/s.
	DefaultMessageBytes = 900
	DefaultSyncBytes    = 8 << 10
	// DefaultWindow bounds the open connections of a node for any size of the fleet. With random windows of 32 members, the
	// probability that no node probes a given member is e^-32.
	DefaultWindow = 32
)

const (
	indirectRemoveFactor = 4
	// isolationFailures is the number of different members that must fail to answer in a row before a node considers itself
	// isolated and no longer suspects or removes others.
	isolationFailures = 3
	// reprobeEvery is the number of probes of which one goes to a removed member or an unknown host.
	reprobeEvery = 10
	// retransmitFactor times log10 of the number of members is the number of messages that carry an update.
	retransmitFactor = 4
	// maxMembers bounds the number of records.
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
