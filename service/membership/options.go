package membership

import (
	"time"

	"azuredyke.dev/azuredyke/decision/membership"
)

// Options configures a Task. Zero durations take the defaults below.
type Options struct {
	// Self is the node's own record: id, peer address, data centre and region. An incarnation of 0 takes the time in
	// milliseconds, which is higher than that of an earlier life unless the clock was set back; the node then raises it
	// once it hears of the earlier one.
	Self   membership.Member
	Params membership.Params
	// Interval is the time between two probes.
	Interval time.Duration
	// ProbeTimeout bounds a direct probe and, separately, the probes through other members.
	ProbeTimeout time.Duration
}

const (
	// DefaultInterval is the probe interval of the design.
	DefaultInterval = time.Second
	// DefaultProbeTimeout allows the direct and the indirect probes together about one interval.
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
