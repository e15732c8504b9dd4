package config

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a node whose configuration differs from that of its peer after it applied a delta from the peer.
func TestDeltaReproducesSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSnapshot(0, nil)
		h := NewHistory(s)
		snapshots := []*Snapshot{s}
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			ref := Ref{KindDataCentre, fmt.Sprint("d", rapid.IntRange(0, 4).Draw(t, "object"))}
			var o *Object
			if rapid.Bool().Draw(t, "put") {
				o = &Object{Ref: ref, Revision: int64(i + 1), DataCentre: &DataCentre{}}
			}
			s = s.WithObject(int64(i+1), ref, o)
			h = h.Advance(s)
			snapshots = append(snapshots, s)
		}
		from := rapid.SampledFrom(snapshots).Draw(t, "from")
		if from == s {
			return
		}
		d, ok := h.Since(from.Revision())
		assert.Assert(t, ok)
		got, ok := d.Apply(from)
		assert.Assert(t, ok)
		assert.Equal(t, got.Revision(), s.Revision())
		assert.Equal(t, len(got.Objects()), len(s.Objects()))
		for _, o := range s.Objects() {
			assert.Assert(t, got.Get(o.Ref) == o)
		}
	})
}

// Guards against a history that grows without bound, and against a delta from a revision that it no longer contains.
func TestHistoryIsBounded(t *testing.T) {
	h := NewHistory(NewSnapshot(0, nil))
	for i := range int64(2 * maxHistoryDeltas) {
		h = h.Advance(NewSnapshot(i+1, nil))
	}
	assert.Equal(t, len(h.deltas), maxHistoryDeltas)
	_, ok := h.Since(1)
	assert.Assert(t, !ok)
	_, ok = h.Since(2*maxHistoryDeltas - 1)
	assert.Assert(t, ok)
}

// Guards against two histories that share memory, so that a change of one is visible to readers of the other.
func TestHistoriesDoNotShareDeltas(t *testing.T) {
	h := NewHistory(NewSnapshot(0, nil))
	for i := range int64(3) {
		h = h.Advance(NewSnapshot(i+1, nil))
	}
	first := h.Advance(NewSnapshot(4, nil))
	h.Advance(NewSnapshot(5, nil))
	assert.Equal(t, first.deltas[3].To, int64(4))
}
