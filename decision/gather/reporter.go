package gather

import (
	"maps"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// Reporter is what a node has told the relays of its own load. It belongs to one task.
type Reporter struct {
	outbox
	own Image
	seq uint64
}

// NewReporter returns a reporter that has told nothing. The epoch differs from that of the node's earlier processes.
func NewReporter(epoch uint64) *Reporter { return &Reporter{outbox: newOutbox(epoch)} }

// Note takes over what the node has in flight.
func (r *Reporter) Note(now time.Time, own []dispatch.Load) {
	r.seq++
	r.touch(r.own.Take(now, Update{Seq: r.seq, Full: true, Loads: own}))
}

// Next returns the update to send.
func (r *Reporter) Next(now time.Time) Update {
	return r.next(now).of(slices.Sorted(maps.Keys(r.own.entries)), r.own.of)
}
