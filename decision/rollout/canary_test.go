package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func endpointNames(n int) []string {
	names := make([]string, 0, n)
	for i := range n {
		names = append(names, fmt.Sprint("e", i))
	}
	return names
}

func everything(string) bool { return true }

// Guards against nodes that choose different endpoints, which would spread the load too thinly to show a fault under load.
func TestAllNodesChooseTheSameEndpoints(t *testing.T) {
	names := endpointNames(44)
	o := Order{Service: "s", Target: "v2", Revision: 7}
	chosen := NewCanary(o, simulatedShare, 44, names).Choose(everything)
	assert.Equal(t, len(chosen), 4)
	slices.Reverse(names)
	assert.DeepEqual(t, NewCanary(o, simulatedShare, 44, names).Choose(everything), chosen)
	// Another endpoint is used only for the one that does not admit requests.
	next := NewCanary(o, simulatedShare, 44, names).Choose(func(e string) bool { return e != chosen[1] })
	assert.Equal(t, len(next), 4)
	assert.DeepEqual(t, next[:3], []string{chosen[0], chosen[2], chosen[3]})
	assert.Equal(t, len(NewCanary(o, simulatedShare, 44, nil).Choose(everything)), 0)
}

// Guards against a canary endpoint of a small service that never gets the load at which a fault shows.
func TestSmallServicesSendInPulses(t *testing.T) {
	o := Order{Service: "s", Target: "v2"}
	for old, parts := range map[int]float64{4: 0.4, 12: 1, 44: 1} {
		c := NewCanary(o, simulatedShare, old, endpointNames(old))
		open := 0
		for i := range 1000 {
			if c.Admits(time.Duration(i)*4*time.Millisecond, 0) {
				open++
			}
		}
		assert.Assert(t, float64(open) > 990*parts && float64(open) < 1010*parts+2, "%d old endpoints: open for %d of 1000", old, open)
	}
}
