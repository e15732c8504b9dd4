package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
)

// Guards against an urgent prompt that waits behind so many others that its objective is missed.
func TestPrefillBacklogLeavesTimeForObjectives(t *testing.T) {
	limit := PrefillLimit{Urgent: Class{Priority: 0, Objective: 1500 * time.Millisecond}, Rates: PrefillRates{}}
	for _, c := range []struct {
		name                 string
		priority, ahead, own int
		objectiveMs          int
		admits               bool
	}{
		{"urgent, reaches its objective", 0, 6900, 2550, 1500, true},
		{"urgent, would be late behind the backlog", 0, 7100, 2550, 1500, false},
		{"urgent, late in any case, small backlog", 0, 2600, 2550, 100, true},
		{"urgent, late in any case, large backlog", 0, 2650, 2550, 100, false},
		{"less urgent, small backlog", 2, 2600, 3079, 4000, true},
		{"less urgent, large backlog", 2, 2650, 3079, 4000, false},
		{"less urgent without an objective, large backlog", 2, 2650, 3079, 0, false},
		{"less urgent, would be late behind the backlog", 2, 2600, 3079, 1500, false},
		{"more urgent than the routes", -1, 4300, 3079, 4000, true},
		{"no prompt to compute", 2, 100_000, 0, 4000, true},
	} {
		var by time.Time
		if c.objectiveMs > 0 {
			by = after(c.objectiveMs)
		}
		assert.Equal(t, limit.Admits(start, c.priority, c.ahead, c.own, by), c.admits, c.name)
	}
}

// Guards against new requests that keep the backlog above what a more urgent one that waits can use.
func TestPrefillLimitYieldsToWaitingRequests(t *testing.T) {
	limit := PrefillLimit{Urgent: Class{Objective: 1500 * time.Millisecond}, Rates: PrefillRates{}, Yields: true}
	assert.Assert(t, limit.Admits(start, 0, 2600, 2550, after(1500)))
	assert.Assert(t, !limit.Admits(start, 0, 2650, 2550, after(1500)))
}

// Guards against a rate that a few wrong figures move out of what engines can do.
func TestPrefillRateIsLearntWithinBounds(t *testing.T) {
	rate := NewPrefillRate()
	for range 400 {
		rate.Observe(5000, 500*time.Millisecond)
	}
	assert.Assert(t, rate.PerMillisecond() > 9.9 && rate.PerMillisecond() < 10.1, "%v", rate.PerMillisecond())
	for range 400 {
		rate.Observe(5000, time.Microsecond)
	}
	assert.Assert(t, rate.PerMillisecond() > 19 && rate.PerMillisecond() <= maxPrefillRate)
	for range 400 {
		rate.Observe(5000, time.Hour)
	}
	assert.Assert(t, rate.PerMillisecond() < 2.1 && rate.PerMillisecond() >= minPrefillRate)
}

// Guards against limits that follow a route of another service, or one without requests.
func TestMostUrgentClassOfService(t *testing.T) {
	route := func(service string, weight uint64, priority int, objective time.Duration) catalog.Route {
		return catalog.Route{Priority: priority, FirstByteObjective: objective, Shares: []catalog.Share{{Service: service, Weight: weight}}}
	}
	routes := []catalog.Route{
		route("s", 1, 2, 4*time.Second), route("s", 1, 1, 1500*time.Millisecond), route("s", 0, 0, time.Second), route("o", 1, 0, time.Second),
		route("s", 1, 1, time.Second), route("s", 1, 1, 0),
	}
	assert.Equal(t, MostUrgent("s", routes), Class{Priority: 1, Objective: time.Second})
	assert.Equal(t, MostUrgent("none", routes), Class{})
}
