package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a prompt that is computed again although an endpoint has cached its prefix.
func TestPrefixAffinityScorerPrefersLongestMatch(t *testing.T) {
	s := &PrefixAffinityScorer{Index: NewPrefixIndex()}
	s.Index.Add(0, []uint64{1, 2})
	s.Index.Add(1, []uint64{1, 2, 3, 4})
	s.Index.Add(2, []uint64{3, 4})
	r := &Request{PrefixHashes: []uint64{1, 2, 3, 9}}
	s.Prepare(r)
	assert.Equal(t, s.Score(r, &Candidate{Slot: 0}), 0.5)
	assert.Equal(t, s.Score(r, &Candidate{Slot: 1}), 0.75)
	assert.Equal(t, s.Score(r, &Candidate{Slot: 2}), 0.0, "only a leading part can be used")
	none := &Request{}
	s.Prepare(none)
	assert.Equal(t, s.Score(none, &Candidate{Slot: 1}), 0.0)
}
