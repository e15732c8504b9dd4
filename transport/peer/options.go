package peer

import (
	"cmp"
	"crypto/tls"
	"time"

	"github.com/uber-go/tally/v4"
)

// Options configures a Hub. A zero duration or bound is replaced by its default.
type Options struct {
	// NodeID is the id that this node sends to the other side of each link.
	NodeID string
	// Secret is shared by all nodes. An empty secret is accepted only on loopback addresses and on a trusted network.
	Secret []byte
	// TrustedNetwork is set if only the nodes have access to the network.
	TrustedNetwork bool
	// TLS returns the configuration of the next outgoing link, so that certificates and CAs can change. If TLS is nil, links
	// are not encrypted. The server name is set to the host that is dialled.
	TLS func() *tls.Config
	// Scope receives the counters. If Scope is nil, no metrics are reported.
	Scope tally.Scope
	// DialTimeout bounds the time to connect and authenticate.
	DialTimeout time.Duration
	// CallTimeout bounds calls whose context has no deadline.
	CallTimeout time.Duration
	// IdleTimeout is the time without traffic after which an outgoing link is closed.
	IdleTimeout time.Duration
	// PingAfter is the time without a received frame after which a ping is sent if a frame is expected.
	PingAfter time.Duration
	// DeadAfter is the time without a received frame, counted from the first unanswered frame, after which a link is closed
	// as dead. DeadAfter also bounds each write.
	DeadAfter time.Duration
	// MinBackoff and MaxBackoff bound the wait after a failed dial.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MaxFrame is the maximum size of a frame in bytes.
	MaxFrame int
	// QueueSize bounds the queued frames, and the mailbox, of one link.
	QueueSize int
	// MaxIncoming bounds the open links that other nodes dialled.
	MaxIncoming int
}

// Defaults of Options.
const (
	DefaultDialTimeout = 2 * time.Second
	DefaultCallTimeout = 10 * time.Second
	DefaultIdleTimeout = time.Minute
	DefaultPingAfter   = time.Second
	// DefaultDeadAfter is short enough to replace a stalled link within the failover time of a cell.
	DefaultDeadAfter  = 3 * time.Second
	DefaultMinBackoff = 100 * time.Millisecond
	DefaultMaxBackoff = 5 * time.Second
	// DefaultMaxFrame has room for a configuration of 1,500 workspaces of 500 bytes each.
	DefaultMaxFrame    = 4 << 20
	DefaultQueueSize   = 1024
	DefaultMaxIncoming = 4096
)

func (o Options) withDefaults() Options {
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.PingAfter = cmp.Or(o.PingAfter, DefaultPingAfter)
	o.DeadAfter = cmp.Or(o.DeadAfter, DefaultDeadAfter)
	o.MinBackoff = cmp.Or(o.MinBackoff, DefaultMinBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, DefaultMaxBackoff)
	o.MaxFrame = cmp.Or(o.MaxFrame, DefaultMaxFrame)
	o.QueueSize = cmp.Or(o.QueueSize, DefaultQueueSize)
	o.MaxIncoming = cmp.Or(o.MaxIncoming, DefaultMaxIncoming)
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}
