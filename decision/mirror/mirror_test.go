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

// Guards against a late answer of the service or of a node that takes a key back to an older state.
func TestOlderChangeIsIgnored(t *testing.T) {
	m := New()
	assert.Equal(t, len(m.Apply([]backing.WatchEvent{written("a", 5)}, 5, start)), 1)
	assert.Equal(t, len(m.Apply([]backing.WatchEvent{written("a", 4), removed("a", 3)}, 4, start)), 0)
	assert.Equal(t, m.Position(), int64(5))
	assert.Equal(t, len(m.Apply([]backing.WatchEvent{removed("a", 6)}, 6, start)), 1)
	assert.Equal(t, len(m.Apply([]backing.WatchEvent{written("a", 5)}, 6, start)), 0)
}

// Guards against an entry that stays in use after its deletion fell into a gap of the history.
func TestReplaceDeletesWhatIsMissing(t *testing.T) {
	m := New()
	m.Apply([]backing.WatchEvent{written("a", 1), written("b", 2), written("late", 9)}, 9, start)
	fresh := m.Replace([]backing.Entry{{Key: "b", ModRevision: 2}, {Key: "c", ModRevision: 7}}, 8, start)
	assert.DeepEqual(t, fresh, []backing.WatchEvent{written("c", 7), removed("a", 8)})
}

// Guards against a node that misses a change which only another node heard.
func TestSinceGivesWhatAnotherNodeLacks(t *testing.T) {
	m, other := New(), New()
	m.Apply([]backing.WatchEvent{written("a", 1), removed("b", 3), written("c", 4)}, 4, start.Add(time.Second))
	other.Apply([]backing.WatchEvent{written("a", 1), written("b", 2)}, 2, start)
	events, ok := m.Since(other.Position())
	assert.Assert(t, ok)
	assert.DeepEqual(t, other.Apply(events, m.Position(), m.Confirmed()), []backing.WatchEvent{removed("b", 3), written("c", 4)})
	assert.Equal(t, other.Confirmed(), m.Confirmed())
}

// Guards against deletions that fill the memory, and against a node that is told it has everything once some were dropped.
func TestForgottenDeletionsAreSaid(t *testing.T) {
	m := New()
	for i := range int64(maxDeleted + 1) {
		m.Apply([]backing.WatchEvent{removed(fmt.Sprint(i), i+1)}, i+1, start)
	}
	assert.Assert(t, len(m.entries) <= maxDeleted)
	_, ok := m.Since(1)
	assert.Assert(t, !ok)
	_, ok = m.Since(maxDeleted)
	assert.Assert(t, ok)
}
