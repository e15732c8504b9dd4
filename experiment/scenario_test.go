package experiment

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// Guards against committed scenario files that are invalid, and against misspelt keys that are silently ignored.
func TestScenariosAreValid(t *testing.T) {
	paths, err := filepath.Glob("../experiments/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) >= 2)
	for _, path := range paths {
		s, err := LoadScenario(path)
		assert.NilError(t, err)
		assert.Assert(t, s.completionRate() > 0, path)
	}
	misspelt := filepath.Join(t.TempDir(), "s.yaml")
	assert.NilError(t, os.WriteFile(misspelt, []byte("nodez: 1\n"), 0o600))
	_, err = LoadScenario(misspelt)
	assert.Assert(t, cmp.ErrorContains(err, "nodez"))
}

// Guards against runs with the same seed that send different requests, so that policies are not comparable, and against
// arrivals that are not sorted by time.
func TestArrivalsDependOnTheSeedOnly(t *testing.T) {
	s, err := LoadScenario("../experiments/guantes.yaml")
	assert.NilError(t, err)
	first, repeated, other := s.Arrivals(1), s.Arrivals(1), s.Arrivals(2)
	assert.DeepEqual(t, first, repeated)
	assert.Assert(t, len(first) > 100)
	assert.Assert(t, first[0].Prompt != other[0].Prompt || first[0].At != other[0].At)
	for i := 1; i < len(first); i++ {
		assert.Assert(t, first[i-1].At <= first[i].At)
	}
}

// Guards against requests that are counted as completed without a complete response, against stall time that is not
// recorded, and against results that include the warm-up.
func TestRecorderCountsStallsAndErrors(t *testing.T) {
	r := newRecorder(Workload{Duration: 10 * time.Second, StallThreshold: 100 * time.Millisecond})
	r.add(Sample{Measured: true, Complete: true, Tokens: 3, Intervals: []time.Duration{50 * time.Millisecond, 350 * time.Millisecond}})
	r.add(Sample{Measured: true, Status: 200, Verdict: "ran"})
	r.add(Sample{Measured: true, Reason: "busy", Verdict: "not-run"})
	r.add(Sample{Complete: true, Tokens: 100})
	got := r.finish()
	assert.Equal(t, got.Requests, 3)
	assert.Equal(t, got.Completed, 1)
	assert.Equal(t, got.Tokens, 3)
	assert.Equal(t, got.StallTime, 250*time.Millisecond)
	assert.DeepEqual(t, got.Errors, map[string]int{"cut ran": 1, "busy not-run": 1})
}
