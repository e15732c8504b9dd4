package membership

import (
	"time"

	"azuredyke.dev/azuredyke/decision/membership"
)

// Options configures an Agent. A zero duration takes its default.
type Options struct {
	// Self is the record of this node: id, peer address, data centre and region. An incarnation of 0 is replaced by the
	// current time in milliseconds, which is higher than the incarnation of an earlier process unless the clock was set
	// back. In that case the node raises its incarnation when it receives a record with the earlier one.
	Self   membership.Member
	Params membership.Params
	// Interval is the time between two probes.
	Interval time.Duration
	// ProbeTimeout bounds a direct probe. Indirect probes, full exchanges and the announcement of a leave take at most
	// twice as long.
	ProbeTimeout time.Duration
}

const (
	DefaultInterval = time.Second
	// DefaultProbeTimeout is half of DefaultInterval, so that a direct probe and then the probe of a helper take one
	// interval.
	DefaultProbeTimeout = 500 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.ProbeTimeout == 0 {
		o.ProbeTimeout = DefaultProbeTimeout
	}
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = uint64(time.Now().UnixMilli())
	}
	return o
}
