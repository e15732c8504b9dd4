package mirror

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// maxTombstones bounds the deletions that are kept for other nodes. It exceeds the number of endpoints that are replaced
// while a node is disconnected for some minutes.
const maxTombstones = 4096

// maxGaps bounds the gaps that are kept. It exceeds the number of times that the key-value service loses its history while
// another node is disconnected.
const maxGaps = 16

// Mirror is the copy of one prefix. It is not safe for concurrent use; one task owns it.
type Mirror struct {
	// entries maps each key to its newest change, including deletions.
	entries map[string]backing.WatchEvent
	// position is the revision up to which the copy contains all changes.
	position int64
	// confirmed is the latest time at which position was the newest revision.
	confirmed time.Time
	// tombstones is the number of deletions in entries.
	tombstones int
	// compactedRevision is the highest revision of the deletions that were dropped from entries.
	compactedRevision int64
	// gaps are the ranges of revisions that reads of all entries have skipped here or at the node that sent the changes, in order.
	gaps []gap
}

// gap is a range of revisions whose deletions are unknown, because the copy was at the revision after, and then advanced to the
// revision before by a read of all entries. A key that was created and deleted within the gap has left no trace in the copy.
type gap struct {
	after, before int64
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{entries: map[string]backing.WatchEvent{}} }

// Revision returns the revision up to which the copy contains all changes; 0 before the first read.
func (m *Mirror) Revision() int64 { return m.position }

// ConfirmedAt returns the latest time at which the copy was up to date.
func (m *Mirror) ConfirmedAt() time.Time { return m.confirmed }

// Apply applies changes that complete the copy up to position, and returns those that were new. The copy was up to date at
// asOf. Changes of another era than the copy's have no effect: those of an earlier one are outdated, and a later one begins with a read of
// all entries.
func (m *Mirror) Apply(events []backing.WatchEvent, position int64, asOf time.Time) []backing.WatchEvent {
	if m.position > 0 && backing.RevisionEra(position) != backing.RevisionEra(m.position) {
		return nil
	}
	return m.applyNewer(events, position, asOf)
}

// applyNewer applies the changes that are newer than the stored change of their key, and returns them.
func (m *Mirror) applyNewer(events []backing.WatchEvent, position int64, asOf time.Time) []backing.WatchEvent {
	var applied []backing.WatchEvent
	for _, e := range events {
		if m.put(e) {
			applied = append(applied, e)
		}
	}
	m.advance(position, asOf)
	return applied
}

// ApplySkipping is Apply for changes that may lack those of keys which were created and deleted after the present position.
func (m *Mirror) ApplySkipping(events []backing.WatchEvent, position int64, asOf time.Time) []backing.WatchEvent {
	if m.position == 0 || backing.RevisionEra(position) == backing.RevisionEra(m.position) {
		m.recordGap(position)
	}
	return m.Apply(events, position, asOf)
}

// Replace applies a read of all entries at a revision, and returns the changes that were new. A key that is missing from
// the read counts as deleted, unless it was written after the read. A read of an earlier era than the copy's has no effect. After one of a
// later era, the copy has no earlier revisions for other nodes.
func (m *Mirror) Replace(entries []backing.Entry, revision int64, asOf time.Time) []backing.WatchEvent {
	if backing.RevisionEra(revision) < backing.RevisionEra(m.position) {
		return nil
	}
	present := make(map[string]bool, len(entries))
	events := make([]backing.WatchEvent, 0, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		events = append(events, backing.WatchEvent{Entry: e})
	}
	for key, known := range m.entries {
		if !known.Deleted && !present[key] && known.Entry.ModRevision <= revision {
			events = append(events, backing.WatchEvent{Entry: backing.Entry{Key: key, ModRevision: revision}, Deleted: true})
		}
	}
	slices.SortFunc(events, byRevision)
	if m.position > 0 && backing.RevisionEra(revision) > backing.RevisionEra(m.position) {
		m.dropHistory()
	}
	m.recordGap(revision)
	return m.applyNewer(events, revision, asOf)
}

// dropHistory drops the deletions and gaps of an era that has ended. Since refers nodes that are still in that era to a read of all entries.
func (m *Mirror) dropHistory() {
	maps.DeleteFunc(m.entries, func(_ string, e backing.WatchEvent) bool { return e.Deleted })
	m.tombstones, m.compactedRevision, m.gaps = 0, 0, nil
}

// recordGap records that the copy goes from its position to a revision without the deletions in between. Beyond maxGaps, the
// two oldest gaps become one.
func (m *Mirror) recordGap(revision int64) {
	if revision <= m.position {
		return
	}
	m.gaps = append(m.gaps, gap{after: m.position, before: revision})
	if len(m.gaps) > maxGaps {
		m.gaps[1].after = m.gaps[0].after
		m.gaps = slices.Delete(m.gaps, 0, 1)
	}
}

// Since returns the newest change of each key after a revision. The second result is false if deletions after the revision
// were dropped or never known; the node that requested the changes must then read the key-value service itself. That is also so after a
// revision of an earlier era.
func (m *Mirror) Since(revision int64) ([]backing.WatchEvent, bool) {
	if revision > 0 && backing.RevisionEra(revision) != backing.RevisionEra(m.position) || revision < m.compactedRevision {
		return nil, false
	}
	for _, g := range m.gaps {
		if g.after < revision && revision < g.before {
			return nil, false
		}
	}
	var events []backing.WatchEvent
	for _, e := range m.entries {
		if e.Entry.ModRevision > revision {
			events = append(events, e)
		}
	}
	slices.SortFunc(events, byRevision)
	return events, true
}

// SkipsAfter reports whether the changes that Since returns may lack those of keys which were created and deleted after the revision.
func (m *Mirror) SkipsAfter(revision int64) bool {
	return slices.ContainsFunc(m.gaps, func(g gap) bool { return g.before > revision })
}

// Entries returns all entries, in the order of their revisions. For another copy, a Replace with them at Revision has the effect of all
// changes up to it, also of those that Since no longer knows.
func (m *Mirror) Entries() []backing.Entry {
	entries := make([]backing.Entry, 0, len(m.entries))
	for _, e := range m.entries {
		if !e.Deleted {
			entries = append(entries, e.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b backing.Entry) int { return cmp.Compare(a.ModRevision, b.ModRevision) })
	return entries
}

// Holds reports whether a change is the newest one of its key.
func (m *Mirror) Holds(e backing.WatchEvent) bool {
	return m.entries[e.Entry.Key].Entry.ModRevision == e.Entry.ModRevision
}

// put stores a change if it is newer than the stored change of its key, and reports whether it did.
func (m *Mirror) put(e backing.WatchEvent) bool {
	known, ok := m.entries[e.Entry.Key]
	if ok && known.Entry.ModRevision >= e.Entry.ModRevision {
		return false
	}
	if ok && known.Deleted {
		m.tombstones--
	}
	m.entries[e.Entry.Key] = e
	if e.Deleted {
		m.tombstones++
		m.compactTombstones()
	}
	return true
}

// compactTombstones drops the oldest half of the deletions once there are more than maxTombstones.
func (m *Mirror) compactTombstones() {
	if m.tombstones <= maxTombstones {
		return
	}
	var tombstones []backing.WatchEvent
	for _, e := range m.entries {
		if e.Deleted {
			tombstones = append(tombstones, e)
		}
	}
	slices.SortFunc(tombstones, byRevision)
	for _, e := range tombstones[:len(tombstones)/2] {
		delete(m.entries, e.Entry.Key)
		m.tombstones--
		m.compactedRevision = max(m.compactedRevision, e.Entry.ModRevision)
	}
}

func (m *Mirror) advance(position int64, asOf time.Time) {
	m.position = max(m.position, position)
	if asOf.After(m.confirmed) {
		m.confirmed = asOf
	}
}

func byRevision(a, b backing.WatchEvent) int {
	return cmp.Compare(a.Entry.ModRevision, b.Entry.ModRevision)
}
