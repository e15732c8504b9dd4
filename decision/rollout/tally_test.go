package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// Guards against tallies that grow with the routes, and against groups of one route that are counted under different names.
func TestRoutesBeyondTheBoundAreCountedTogether(t *testing.T) {
	tally := Tally{}
	for i := range 100 {
		tally.RecordSend(OldGroup, fmt.Sprint("route", i))
	}
	for i := range 100 {
		tally.RecordSend(TargetGroup, fmt.Sprint("route", i))
	}
	assert.Equal(t, len(tally.routes()), maxRoutes+1)
	assert.Equal(t, tally.Sends(OldGroup), int64(100))
	for i := 0; i < len(tally.Entries); i += 2 {
		i := i / 2
		old, target := tally.Entries[i], tally.Entries[i+maxRoutes+1]
		assert.Equal(t, old.Route, target.Route)
		assert.Equal(t, old.Sends, target.Sends)
	}
}

// Guards against messages of a node that exceed its share of the control overhead (3 KB/s, four tallies a second).
func TestEncodedTallyOfOneNodeIsSmall(t *testing.T) {
	tally := Tally{}
	for i := range 400 {
		s := Sample{
			Group: OldGroup, Route: fmt.Sprint("route", i%3), Endpoint: fmt.Sprint("endpoint", i), Failed: i%20 == 0,
			FirstEvent: time.Duration(50+i%50*20) * time.Millisecond, Interval: time.Duration(20+i%30) * time.Millisecond,
		}
		if i%12 == 0 {
			s.Group = TargetGroup
		}
		tally.RecordSend(s.Group, s.Route)
		tally.Record(s)
	}
	data, err := cbor.Marshal(tally)
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 500, "%d bytes", len(data))
	var read Tally
	assert.NilError(t, cbor.Unmarshal(data, &read))
	assert.DeepEqual(t, read, tally)
}

// Guards against a sum that changes when a tally that was added to it changes later.
func TestSumSharesNoMemory(t *testing.T) {
	one, sum := Tally{}, Tally{}
	one.Record(Sample{Group: TargetGroup, Route: "r", Failed: true, FirstEvent: time.Second})
	sum.Add(one)
	clone := one.Clone()
	one.Record(Sample{Group: TargetGroup, Route: "r", Failed: true, FirstEvent: time.Second})
	assert.DeepEqual(t, sum, clone)
}

// Guards against durations that lie outside the bin that counts them.
func TestDurationsLieInTheirBins(t *testing.T) {
	for d := time.Millisecond; d < 50*time.Second; d = d * 21 / 20 {
		bin := durationBin(d)
		assert.Assert(t, binStart(bin) <= d && d < binStart(bin+1)+time.Nanosecond, "%v in bin %d", d, bin)
	}
	assert.Equal(t, durationBin(time.Hour), durationBins-1)
}

// Guards against refused requests that count as slow because they never get a first event, and against a version that is not found slow
// although it never answers.
func TestOnlyRequestsThatMayRunAreOverdue(t *testing.T) {
	overdue := func(unevaluated int) float64 {
		tally, h := Tally{}, history{}
		for range 20 {
			tally.RecordSend(OldGroup, "r")
			tally.Record(Sample{Group: OldGroup, Route: "r", FirstEvent: 20 * time.Millisecond})
			tally.RecordSend(TargetGroup, "r")
		}
		for range unevaluated {
			tally.RecordUnevaluated(TargetGroup, "r")
		}
		for i := range 6 {
			h.record(Evidence{Elapsed: time.Duration(i) * time.Second, Tally: tally}, Observing)
		}
		c, known := newComparison(&h, firstEventMeasure, "r")
		assert.Assert(t, known)
		return c.targetSum.bad
	}
	assert.Equal(t, overdue(0), 20.0)
	assert.Equal(t, overdue(20), 0.0)
}
