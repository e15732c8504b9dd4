package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that crashes endpoints and is forgotten when all nodes end at once, against entries that are written again and
// again, and against entries of requests that were cleared.
func TestMarksOfTwoCrashesAreStored(t *testing.T) {
	mark := func(f Fingerprint, term uint32, evidence int) Mark {
		return Mark{Fingerprint: f, Term: term, Evidence: evidence, Remaining: time.Hour}
	}
	known := Snapshot{}
	for _, m := range []Mark{mark(2, 0, 1), mark(4, 0, 2), mark(6, 0, 3), mark(8, 1, 0), mark(10, 1, 1), mark(12, 1, 3), mark(14, 0, 3), mark(16, 0, 2)} {
		known[m.Fingerprint] = m
	}
	c := NewStorageChange(known, map[Fingerprint]StoredMark{
		8:  {Mark: mark(8, 0, 3)},
		10: {Mark: mark(10, 0, 3)},
		12: {Mark: mark(12, 0, 3)},
		14: {Mark: mark(14, 0, 3), Age: renewAfter},
		// This node has not applied a newer entry yet, and does not know another one.
		16: {Mark: mark(16, 2, 3), Age: renewAfter},
		18: {Mark: mark(18, 0, 3)},
	})
	var put []Fingerprint
	for _, m := range c.Put {
		put = append(put, m.Fingerprint)
	}
	assert.DeepEqual(t, put, []Fingerprint{6, 12, 14, 4})
	assert.DeepEqual(t, c.Delete, []Fingerprint{8, 10})
}

// Guards against a store that is filled with marks under a flood of requests that crash endpoints.
func TestStoredMarksAreBounded(t *testing.T) {
	known := Snapshot{}
	for i := range 10 * maxStoredMarks {
		f := Fingerprint(2 * i)
		known[f] = Mark{Fingerprint: f, Evidence: storedEvidence + i%2, Remaining: time.Hour}
	}
	c := NewStorageChange(known, nil)
	assert.Equal(t, len(c.Put), maxStoredMarks)
	for _, m := range c.Put {
		assert.Equal(t, m.Standing(), Quarantined)
	}
}
