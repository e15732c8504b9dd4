package gather

import (
	"maps"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// Reporter builds the updates that report a node's load to the relays. It is not safe for concurrent use; one task owns it.
type Reporter struct {
	updateSchedule
	own LoadView
	// seq numbers the calls of SetLoad.
	seq uint64
}

// NewReporter returns a reporter without load. The epoch must differ from that of the node's earlier processes.
func NewReporter(epoch uint64) *Reporter {
	return &Reporter{updateSchedule: newUpdateSchedule(epoch, reportIdleInterval)}
}

// SetLoad replaces the load of the node.
func (r *Reporter) SetLoad(now time.Time, own []dispatch.Load) {
	r.seq++
	r.recordChanges(r.own.Apply(now, Update{Seq: r.seq, Full: true, Loads: own}))
}

// Next returns the update to send and clears the recorded changes.
func (r *Reporter) Next(now time.Time) Update {
	return r.nextUpdate(now, len(r.own.entries)).build(slices.Sorted(maps.Keys(r.own.entries)), r.own.load)
}
