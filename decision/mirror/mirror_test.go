package mirror

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
)

var start = time.Unix(0, 0)

func written(key string, revision int64) backing.WatchEvent {
	return backing.WatchEvent{Entry: backing.Entry{Key: key, ModRevision: revision}}
}

func removed(key string, revision int64) backing.WatchEvent {
	e := written(key, revision)
	e.Deleted = true
	return e
}

// Guards against a late answer of the key-value service or of a node that reverts a key to an older state.
func TestOlderChangeIsIgnored(t *testing.T) {
	m := New()
	assert.Equal(t, len(m.Apply([]backing.WatchEvent{written("a", 5)}, 5, start)), 1)
	assert.Equal(t, len(m.Apply([]backing.WatchEvent{written("a", 4), removed("a", 3)}, 4, start)), 0)
	assert.Equal(t, m.Revision(), int64(5))
	assert.Equal(t, len(m.Apply([]backing.WatchEvent{removed("a", 6)}, 6, start)), 1)
	assert.Equal(t, len(m.Apply([]backing.WatchEvent{written("a", 5)}, 6, start)), 0)
}

// Guards against an entry that stays in use after its deletion was missed in a gap of the watch.
func TestReplaceDeletesMissingKeys(t *testing.T) {
	m := New()
	m.Apply([]backing.WatchEvent{written("a", 1), written("b", 2), written("late", 9)}, 9, start)
	applied := m.Replace([]backing.Entry{{Key: "b", ModRevision: 2}, {Key: "c", ModRevision: 7}}, 8, start)
	assert.DeepEqual(t, applied, []backing.WatchEvent{written("c", 7), removed("a", 8)})
}

// Guards against a node that misses a change that only another node received.
func TestSinceReturnsMissingChanges(t *testing.T) {
	m, other := New(), New()
	m.Apply([]backing.WatchEvent{written("a", 1), removed("b", 3), written("c", 4)}, 4, start.Add(time.Second))
	other.Apply([]backing.WatchEvent{written("a", 1), written("b", 2)}, 2, start)
	events, ok := m.Since(other.Revision())
	assert.Assert(t, ok)
	assert.DeepEqual(t, other.Apply(events, m.Revision(), m.ConfirmedAt()), []backing.WatchEvent{removed("b", 3), written("c", 4)})
	assert.Equal(t, other.ConfirmedAt(), m.ConfirmedAt())
}

// Guards against an endpoint that stays in use after it has left: a node that missed the deletion asks another node that was
// restarted after it, and so has never known the key.
func TestSinceRefusesRevisionsBeforeARestart(t *testing.T) {
	stale, restarted := New(), New()
	stale.Apply([]backing.WatchEvent{written("a", 1), written("b", 2)}, 2, start)
	// b was deleted at revision 3.
	restarted.Replace([]backing.Entry{{Key: "a", ModRevision: 1}}, 4, start)
	_, ok := restarted.Since(stale.Revision())
	assert.Assert(t, !ok)
	for _, revision := range []int64{0, 4, 5} {
		_, ok = restarted.Since(revision)
		assert.Assert(t, ok, "%d", revision)
	}
}

// Guards against a node that can never catch up, or keeps an entry that was deleted, because no other node keeps the changes it lacks.
func TestEntriesReplaceChangesThatAreNoLongerKept(t *testing.T) {
	stale, restarted := New(), New()
	stale.Apply([]backing.WatchEvent{written("a", 1), written("b", 2), written("c", 3)}, 3, start)
	// b was deleted at revision 4; c was changed, and d was written and deleted, after it.
	restarted.Replace([]backing.Entry{{Key: "a", ModRevision: 1}, {Key: "c", ModRevision: 5}}, 6, start)
	restarted.Apply([]backing.WatchEvent{written("d", 7), removed("d", 8)}, 8, start.Add(time.Second))
	_, ok := restarted.Since(stale.Revision())
	assert.Assert(t, !ok)
	applied := stale.Replace(restarted.Entries(), restarted.Revision(), restarted.ConfirmedAt())
	assert.DeepEqual(t, applied, []backing.WatchEvent{written("c", 5), removed("b", 8)})
	assert.DeepEqual(t, stale.Entries(), restarted.Entries())
	assert.Equal(t, stale.Revision(), restarted.Revision())
	assert.Equal(t, stale.ConfirmedAt(), restarted.ConfirmedAt())
}

// Guards against an endpoint that stays in use after it has left: a node that missed the deletion asks one that has heard the changes from a
// third node, which has never known the endpoint.
func TestSkippedDeletionsAreKnownSecondHand(t *testing.T) {
	for _, known := range []int64{0, 2} {
		stale, restarted, second := New(), New(), New()
		stale.Apply([]backing.WatchEvent{written("a", 1), written("b", 3)}, 3, start)
		// b was deleted at revision 4.
		restarted.Apply([]backing.WatchEvent{written("a", 1)}, known, start)
		restarted.Replace([]backing.Entry{{Key: "a", ModRevision: 1}}, 6, start)
		second.Apply([]backing.WatchEvent{written("a", 1)}, known, start)
		events, ok := restarted.Since(second.Revision())
		assert.Assert(t, ok)
		assert.Assert(t, restarted.SkipsAfter(second.Revision()))
		second.ApplySkipping(events, restarted.Revision(), start)
		_, ok = second.Since(stale.Revision())
		assert.Assert(t, !ok, "known up to %d", known)
		assert.Assert(t, !restarted.SkipsAfter(6))
	}
}

// Guards against nodes that all read the store again after it has compacted its history, although one of them has done so.
func TestSinceAnswersRevisionsBeforeAGap(t *testing.T) {
	m := New()
	m.Replace([]backing.Entry{{Key: "a", ModRevision: 1}, {Key: "b", ModRevision: 2}}, 2, start)
	m.Replace([]backing.Entry{{Key: "a", ModRevision: 1}}, 9, start)
	events, ok := m.Since(2)
	assert.Assert(t, ok)
	assert.DeepEqual(t, events, []backing.WatchEvent{removed("b", 9)})
	_, ok = m.Since(5)
	assert.Assert(t, !ok)
	for i := range int64(2 * maxGaps) {
		m.Apply([]backing.WatchEvent{written("a", 10+10*i)}, 10+10*i, start)
		m.Replace([]backing.Entry{{Key: "a", ModRevision: 10 + 10*i}}, 15+10*i, start)
	}
	assert.Assert(t, len(m.gaps) <= maxGaps)
	_, ok = m.Since(5)
	assert.Assert(t, !ok)
}

// Guards against unbounded deletions in memory, and against an incomplete answer to another node after some deletions were
// dropped.
func TestCompactedTombstonesAreReported(t *testing.T) {
	m := New()
	for i := range int64(maxTombstones + 1) {
		m.Apply([]backing.WatchEvent{removed(fmt.Sprint(i), i+1)}, i+1, start)
	}
	assert.Assert(t, len(m.entries) <= maxTombstones)
	_, ok := m.Since(1)
	assert.Assert(t, !ok)
	_, ok = m.Since(maxTombstones)
	assert.Assert(t, ok)
}
