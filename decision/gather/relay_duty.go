package gather

import "time"

// RelayDuty decides to which nodes this node sends updates as a relay. It is not safe for concurrent use; one task owns it.
type RelayDuty struct {
	// rank is the rank of this node among the relays of its data centre; -1 if it is not a relay.
	rank int
	// primaryHeardAt is the time of the last update from the primary relay.
	primaryHeardAt time.Time
	// unserved holds the nodes that do not hear the primary relay, with the time of their last report.
	unserved map[string]time.Time
}

// NewRelayDuty returns the duty of a node that is not a relay and has not heard the primary relay.
func NewRelayDuty() *RelayDuty { return &RelayDuty{rank: -1, unserved: map[string]time.Time{}} }

// SetRank sets the rank of this node among the relays of its data centre.
func (d *RelayDuty) SetRank(rank int) { d.rank = rank }

// RecordPrimaryUpdate records an update from the primary relay.
func (d *RelayDuty) RecordPrimaryUpdate(now time.Time) { d.primaryHeardAt = now }

// PrimarySilentAt returns the time from which the primary relay counts as silent if no further update arrives.
func (d *RelayDuty) PrimarySilentAt() time.Time { return d.primaryHeardAt.Add(RelaySilence) }

// IsUnserved reports whether this node needs the updates of a relay and does not hear the primary one.
func (d *RelayDuty) IsUnserved(now time.Time) bool {
	return d.rank != 0 && !now.Before(d.PrimarySilentAt())
}

// RecordReport records whether a node of the data centre hears the primary relay, and reports whether the node needs a full
// update from this relay because it has just lost the primary one.
func (d *RelayDuty) RecordReport(now time.Time, node string, unserved bool) bool {
	_, known := d.unserved[node]
	if !unserved {
		delete(d.unserved, node)
		return false
	}
	d.unserved[node] = now
	return !known
}

// ServesAll reports whether this node sends updates to all nodes of its data centre and to the relays of the other ones.
func (d *RelayDuty) ServesAll(now time.Time) bool {
	return d.rank == 0 || d.rank > 0 && d.IsUnserved(now)
}

// Serves reports whether this node sends updates to a node of its data centre.
func (d *RelayDuty) Serves(now time.Time, node string) bool {
	if d.ServesAll(now) {
		return true
	}
	reportedAt, ok := d.unserved[node]
	return d.rank > 0 && ok && now.Sub(reportedAt) <= reportExpiry
}

// IsIdle reports whether this node sends no updates.
func (d *RelayDuty) IsIdle(now time.Time) bool {
	return d.rank < 0 || !d.ServesAll(now) && len(d.unserved) == 0
}

// Expire forgets the unserved nodes that have been silent for longer than reportExpiry.
func (d *RelayDuty) Expire(now time.Time) {
	for node, reportedAt := range d.unserved {
		if now.Sub(reportedAt) > reportExpiry {
			delete(d.unserved, node)
		}
	}
}
