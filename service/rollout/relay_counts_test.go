package rollout

import (
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/rollout"
)

var testKey = rolloutKey{"s", 7}

// testReport returns the report of a process with a number of sends to the target.
func testReport(node string, epoch, sequence uint64, sends int) Report {
	s := ServiceReport{Service: "s", Revision: 7, AgeMillis: int64(sequence) * 100, Phase: rollout.Promoting, PlanRevision: 7}
	for range sends {
		s.Tally.RecordSend(rollout.TargetGroup, "r")
	}
	return Report{Node: node, Epoch: epoch, Sequence: sequence, Services: []ServiceReport{s}}
}

func sendsOf(t rollout.Tally) int64 {
	total := int64(0)
	for _, e := range t.Entries {
		total += e.Sends
	}
	return total
}

// Guards against counts that are lost when a process ends, added twice when a message is repeated or late, or taken from another
// order; and against a confirmation of a node that is not listed or still has requests on old endpoints.
func TestCountsOfProcessesAreSummedOnce(t *testing.T) {
	c := newRelayCounts()
	c.apply(testReport("a", 1, 2, 5))
	c.apply(testReport("a", 1, 2, 5))
	c.apply(testReport("a", 1, 1, 3))
	c.apply(testReport("b", 2, 1, 10))
	assert.Equal(t, sendsOf(c.sum(testKey, []string{"a", "b"}).Tally), int64(15))
	c.apply(testReport("a", 3, 1, 2))
	c.apply(testReport("a", 1, 9, 5))
	sum := c.sum(testKey, []string{"a", "x"})
	assert.Equal(t, sendsOf(sum.Tally), int64(17))
	assert.Equal(t, sum.Confirmed, 1)
	assert.Equal(t, sum.AgeMillis, int64(100))
	busy := testReport("a", 3, 2, 2)
	busy.Services[0].OldRuns = 1
	c.apply(busy)
	assert.Equal(t, c.sum(testKey, []string{"a"}).Confirmed, 0)
	behind := testReport("a", 3, 3, 2)
	behind.Services[0].PlanRevision = 6
	c.apply(behind)
	assert.Equal(t, c.sum(testKey, []string{"a"}).Confirmed, 0)
	assert.Equal(t, sendsOf(c.sum(rolloutKey{"s", 8}, nil).Tally), int64(0))
	c.keep(nil)
	assert.Equal(t, len(c.reports)+len(c.ended)+len(c.endedEpochs), 0)
}

// Guards against the counts of a data centre that are added once for each of its relays, or go back when a relay restarts.
func TestSumsOfBothRelaysCountOnce(t *testing.T) {
	r := newRemoteSums()
	sum := func(relay string, epoch, sequence uint64, sends int) Sum {
		report := testReport("", 0, 0, sends)
		return Sum{
			DataCentre: "b", Relay: relay, Epoch: epoch, Sequence: sequence,
			Services: []ServiceSum{{Service: "s", Revision: 7, AgeMillis: int64(sends), Confirmed: sends, Tally: report.Services[0].Tally}},
		}
	}
	r.apply(sum("b0", 1, 5, 10))
	r.apply(sum("b1", 2, 1, 9))
	r.apply(sum("b0", 1, 4, 3))
	found := r.of(testKey)
	assert.Equal(t, len(found), 1)
	assert.Equal(t, sendsOf(found["b"].Tally), int64(10))
	r.apply(sum("b0", 3, 1, 2))
	found = r.of(testKey)
	assert.Equal(t, sendsOf(found["b"].Tally), int64(9))
	assert.Equal(t, found["b"].AgeMillis, int64(9))
	assert.Equal(t, len(r.of(rolloutKey{"s", 8})), 0)
}

// Guards against counts of a data centre that are not seen because each of its relays lacks some, and against sums that change when
// they are read.
func TestSumsOfBothRelaysCompleteEachOther(t *testing.T) {
	r := newRemoteSums()
	for i, group := range []rollout.Group{rollout.OldGroup, rollout.TargetGroup} {
		s := ServiceSum{Service: "s", Revision: 7}
		for range i + 3 {
			s.Tally.RecordSend(group, "r")
		}
		r.apply(Sum{DataCentre: "b", Relay: string(rune('0' + i)), Epoch: 1, Sequence: 1, Services: []ServiceSum{s}})
	}
	for range 2 {
		tally := r.of(testKey)["b"].Tally
		assert.Equal(t, tally.Sends(rollout.OldGroup), int64(3))
		assert.Equal(t, tally.Sends(rollout.TargetGroup), int64(4))
	}
	for _, sum := range r.byRelay {
		assert.Equal(t, len(sum.Services[0].Tally.Entries), 1)
	}
}
