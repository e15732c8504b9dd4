package mirror

import (
	"cmp"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// maxDeleted bounds the deletions that are remembered for other nodes. It is above the endpoints that are replaced while
// a node is out of touch for minutes.
const maxDeleted = 4096

// Mirror is the copy of one prefix. It belongs to one task.
type Mirror struct {
	entries map[string]backing.WatchEvent
	// position is the revision up to which all changes are known.
	position int64
	// confirmed is the latest moment at which position was known to be the newest.
	confirmed time.Time
	// deleted counts the remembered deletions; forgotten is the newest revision among those that were dropped.
	deleted   int
	forgotten int64
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{entries: map[string]backing.WatchEvent{}} }

// Position returns the revision up to which all changes are known; 0 before the first read.
func (m *Mirror) Position() int64 { return m.position }

// Confirmed returns when the copy was last known to be up to date.
func (m *Mirror) Confirmed() time.Time { return m.confirmed }

// Apply takes changes after which everything up to position is known, and returns those that are new. The copy was up to
// date at asOf.
func (m *Mirror) Apply(events []backing.WatchEvent, position int64, asOf time.Time) []backing.WatchEvent {
	var fresh []backing.WatchEvent
	for _, e := range events {
		if m.put(e) {
			fresh = append(fresh, e)
		}
	}
	m.advance(position, asOf)
	return fresh
}

// Replace takes all entries as they were read at a revision, and returns what differs. A key that is missing was deleted
// unless it was written after the read.
func (m *Mirror) Replace(entries []backing.Entry, revision int64, asOf time.Time) []backing.WatchEvent {
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
	return m.Apply(events, revision, asOf)
}

// Since returns the newest change of each key after a revision. The second result is false when deletions after it have
// been forgotten, so that the asker must read the service itself.
func (m *Mirror) Since(revision int64) ([]backing.WatchEvent, bool) {
	if revision < m.forgotten {
		return nil, false
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

// put reports whether the change is newer than what is known of its key.
func (m *Mirror) put(e backing.WatchEvent) bool {
	known, ok := m.entries[e.Entry.Key]
	if ok && known.Entry.ModRevision >= e.Entry.ModRevision {
		return false
	}
	if ok && known.Deleted {
		m.deleted--
	}
	m.entries[e.Entry.Key] = e
	if e.Deleted {
		m.deleted++
		m.forgetDeleted()
	}
	return true
}

// forgetDeleted drops the oldest half of the deletions once there are too many.
func (m *Mirror) forgetDeleted() {
	if m.deleted <= maxDeleted {
		return
	}
	var old []backing.WatchEvent
	for _, e := range m.entries {
		if e.Deleted {
			old = append(old, e)
		}
	}
	slices.SortFunc(old, byRevision)
	for _, e := range old[:len(old)/2] {
		delete(m.entries, e.Entry.Key)
		m.deleted--
		m.forgotten = max(m.forgotten, e.Entry.ModRevision)
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
