package quarantine

import (
	"slices"
	"time"
)

const (
	// quarantineCrashes is the number of crashes that quarantine a request.
	quarantineCrashes = 2
	// suspectDuration is the time for which a request stays suspect after a crash.
	suspectDuration = 10 * time.Minute
	// quarantineDuration is the time for which a quarantined request is refused.
	quarantineDuration = time.Hour
	// maxEntries bounds the table. A full table evicts the entry that expires first.
	maxEntries = 10_000
)

// Table holds the requests that are suspect or quarantined. It is not safe for concurrent use; one task owns it.
type Table struct {
	entries map[Fingerprint]*entry
}

// entry is the state of one request.
type entry struct {
	crashes []CrashID
	expires time.Time
	// running is set while the run of the suspect is reserved.
	running bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Fingerprint]*entry{}} }

// Reserve returns how a request may run now. The result Suspect reserves the single run of the suspect, which Finished or
// Crashed ends.
func (t *Table) Reserve(now time.Time, f Fingerprint) Standing {
	e := t.lookup(now, f)
	switch {
	case e == nil:
		return Clear
	case len(e.crashes) >= quarantineCrashes:
		return Quarantined
	case e.running:
		return Busy
	}
	e.running = true
	return Suspect
}

// Crashed records that an endpoint crashed while it ran the request. It returns the mark to send to the other nodes.
func (t *Table) Crashed(now time.Time, f Fingerprint, id CrashID) Mark {
	e := t.lookup(now, f)
	if e == nil {
		e = t.insert(now, f)
	}
	e.add(now, id, quarantineDuration)
	return e.mark(now, f)
}

// Finished records that the request ended without a crash. A suspect that completed its run is cleared.
func (t *Table) Finished(now time.Time, f Fingerprint, completed bool) {
	e := t.lookup(now, f)
	if e == nil || !e.running {
		return
	}
	e.running = false
	if completed && len(e.crashes) < quarantineCrashes {
		delete(t.entries, f)
	}
}

// Merge applies a mark from another node.
func (t *Table) Merge(now time.Time, m Mark) {
	e := t.lookup(now, m.Fingerprint)
	if e == nil {
		e = t.insert(now, m.Fingerprint)
	}
	for _, id := range m.Crashes {
		e.add(now, id, m.Remaining)
	}
}

// Marks returns all marks that have not expired.
func (t *Table) Marks(now time.Time) []Mark {
	var marks []Mark
	for f, e := range t.entries {
		if now.Before(e.expires) {
			marks = append(marks, e.mark(now, f))
		}
	}
	return marks
}

// add records a crash unless the entry already contains it. A new crash ends the suspect's run, and the entry expires after
// at most the given limit.
func (e *entry) add(now time.Time, id CrashID, limit time.Duration) {
	if len(e.crashes) >= quarantineCrashes || slices.Contains(e.crashes, id) {
		return
	}
	e.running = false
	e.crashes = append(e.crashes, id)
	e.expires = now.Add(min(limit, markDuration(len(e.crashes))))
}

func (e *entry) mark(now time.Time, f Fingerprint) Mark {
	return Mark{Fingerprint: f, Crashes: slices.Clone(e.crashes), Remaining: e.expires.Sub(now)}
}

func markDuration(crashes int) time.Duration {
	if crashes >= quarantineCrashes {
		return quarantineDuration
	}
	return suspectDuration
}

// lookup returns the entry of a request, or nil if there is none or it has expired.
func (t *Table) lookup(now time.Time, f Fingerprint) *entry {
	e := t.entries[f]
	if e != nil && !now.Before(e.expires) {
		delete(t.entries, f)
		return nil
	}
	return e
}

func (t *Table) insert(now time.Time, f Fingerprint) *entry {
	if len(t.entries) >= maxEntries {
		t.evictEarliestExpiry()
	}
	e := &entry{expires: now.Add(suspectDuration)}
	t.entries[f] = e
	return e
}

func (t *Table) evictEarliestExpiry() {
	var first Fingerprint
	var earliest time.Time
	for f, e := range t.entries {
		if earliest.IsZero() || e.expires.Before(earliest) {
			first, earliest = f, e.expires
		}
	}
	delete(t.entries, first)
}

// Mark returns the mark of the request, without crashes if the table has none. Unlike Reserve, it reserves no run.
func (t *Table) Mark(now time.Time, f Fingerprint) Mark {
	if e := t.lookup(now, f); e != nil {
		return e.mark(now, f)
	}
	return Mark{Fingerprint: f}
}
