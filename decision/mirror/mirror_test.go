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
