package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an endpoint that stays limited, or is no longer limited, because of an answer that was overtaken by a newer one.
func TestLateAnswerDoesNotRaiseOrEndALimit(t *testing.T) {
	table, s := newTable(0, "a")
	e := &s.Endpoints["s"][0].Endpoint
	before, heard, after := start, start.Add(time.Second), start.Add(2*time.Second)
	limited := func() (bool, float64) {
		placed, refusal := table.Place(after, request(1))
		assert.Equal(t, refusal, Refusal(""))
		table.Release(after, placed.Run, Succeeded)
		return placed.RateLimited, placed.RateLimit
	}
	isLimited, _ := limited()
	assert.Assert(t, !isLimited)
	assert.Assert(t, table.RecordRateLimit(heard, before, e, 10))
	assert.Assert(t, !table.RecordRateLimit(heard, before, e, 20))
	assert.Assert(t, !table.RecordNoRateLimit(before, e))
	assert.Assert(t, !table.RecordOthersRateLimit(after, e, 30))
	_, rate := limited()
	assert.Equal(t, rate, 10.0)
	assert.Assert(t, table.RecordOthersRateLimit(heard, e, 4))
	assert.Assert(t, table.RecordRateLimit(heard, before, e, 3))
	assert.Assert(t, table.RecordRateLimit(after, heard.Add(1), e, 20))
	_, rate = limited()
	assert.Equal(t, rate, 20.0)
	table.RecordRateRefusal(after, e, time.Minute, false)
	assert.Assert(t, table.RecordNoRateLimit(after.Add(1), e))
	isLimited, _ = limited()
	assert.Assert(t, !isLimited)
}

// Guards against requests to an endpoint for which the owner of its budget has granted none, against callers that wait for one, and
// against a limit that the next incarnation of the endpoint inherits.
func TestRefusedEndpointGetsNoRequests(t *testing.T) {
	table, s := newTable(0, "a", "b")
	a, b := &s.Endpoints["s"][0], &s.Endpoints["s"][1].Endpoint
	table.RecordRateLimit(start, start, &a.Endpoint, 1)
	table.RecordRateRefusal(start, &a.Endpoint, 2*time.Second, false)
	for range 20 {
		placed, _ := table.Place(start, request(1))
		assert.Equal(t, placed.Endpoint.ID, "b")
		table.Release(start, placed.Run, Succeeded)
	}
	avoiding := request(1)
	avoiding.AvoidRateLimited, avoiding.RequiredEndpoint = true, "a"
	_, refusal := table.Place(start.Add(3*time.Second), avoiding)
	assert.Equal(t, refusal, AllEndpointsPaused)
	table.RecordRateLimit(start, start, b, 1)
	table.RecordRateRefusal(start, b, time.Second, false)
	all := request(1)
	_, refusal = table.Place(start, all)
	assert.Equal(t, refusal, AllEndpointsPaused)
	assert.Equal(t, table.PauseLeft(start, &all), time.Second)
	next := *s
	a.Born = 7
	table.SetSnapshot(start, &next)
	placed, refusal := table.Place(start, request(1))
	assert.Equal(t, refusal, Refusal(""))
	assert.Assert(t, !placed.RateLimited)
}

// Guards against repeats that use up the retry budget although no endpoint got them.
func TestRefusedRepeatIsNotCharged(t *testing.T) {
	table, s := newTable(0, "a")
	table.SetParams(Params{RetryAllowance: 1})
	repeat := request(1)
	repeat.Repeat = true
	for range 5 {
		placed, refusal := table.Place(start, repeat)
		assert.Equal(t, refusal, Refusal(""))
		table.Release(start, placed.Run, Cancelled)
		table.RecordRateRefusal(start, &s.Endpoints["s"][0].Endpoint, 0, true)
	}
	_, refusal := table.Place(start, repeat)
	assert.Equal(t, refusal, Refusal(""))
	_, refusal = table.Place(start, repeat)
	assert.Equal(t, refusal, RetryBudget)
}
