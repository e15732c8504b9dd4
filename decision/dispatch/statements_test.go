package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/fleet"
)

// Guards against requests to an endpoint that has said that it is leaving, because its entry says that it is ready, lapses and comes
// back, or is read at an older revision; and against the next incarnation that counts as leaving too.
func TestLeavingStatementHoldsForItsIncarnation(t *testing.T) {
	table, s := newTable(0, "a", "b")
	leaving := s.Endpoints["s"][0]
	assert.Assert(t, table.RecordLeaving(start, &leaving.Endpoint))
	assert.Assert(t, !table.RecordLeaving(start, &leaving.Endpoint))
	without := *s
	without.Endpoints = map[string][]fleet.Endpoint{"s": s.Endpoints["s"][1:]}
	for _, snapshot := range []*fleet.Snapshot{s, &without, s} {
		table.SetSnapshot(start, snapshot)
		for range 50 {
			placed, refusal := table.Place(start, request(1))
			assert.Equal(t, refusal, Refusal(""))
			assert.Equal(t, placed.Endpoint.ID, "b")
			table.Release(start, placed.Run, Succeeded)
		}
	}
	table.RecordLeaving(start, &s.Endpoints["s"][1].Endpoint)
	_, refusal := table.Place(start, request(1))
	assert.Equal(t, refusal, NoEndpoint)
	next := *s
	leaving.Born = 7
	next.Endpoints = map[string][]fleet.Endpoint{"s": {leaving}}
	table.SetSnapshot(start, &next)
	_, refusal = table.Place(start, request(1))
	assert.Equal(t, refusal, Refusal(""))
}

// Guards against requests to an endpoint within the time for which it wants none, also for continuations and copies, and against
// a shorter pause that ends an earlier one.
func TestPausedEndpointGetsNoRequests(t *testing.T) {
	table, s := newTable(0, "a", "b")
	table.RecordPause(start, &s.Endpoints["s"][0].Endpoint, 5*time.Second)
	table.RecordPause(start, &s.Endpoints["s"][0].Endpoint, time.Second)
	last := start.Add(5*time.Second - 1)
	for range 50 {
		placed, refusal := table.Place(last, request(1))
		assert.Equal(t, refusal, Refusal(""))
		assert.Equal(t, placed.Endpoint.ID, "b")
		table.Release(last, placed.Run, Succeeded)
	}
	for _, r := range []Request{
		{Service: "s", Tokens: 1, PromptTokens: 1, RequiredEndpoint: "a", Resumed: true, ForceRepeat: true},
		{Service: "s", Tokens: 1, PromptTokens: 1, CopyPending: true, SpareMemoryOnly: true, Exclude: []string{"b"}},
	} {
		_, refusal := table.Place(last, r)
		assert.Equal(t, refusal, AllEndpointsPaused)
	}
	r := request(1)
	r.Backup = true
	placed, _ := table.Place(last, r)
	assert.Equal(t, placed.Backup.ID, "")
	table.RecordPause(start, &s.Endpoints["s"][1].Endpoint, 9*time.Second)
	_, refusal := table.Place(last, request(1))
	assert.Equal(t, refusal, AllEndpointsPaused)
	all := request(1)
	assert.Equal(t, table.PauseLeft(last, &all), time.Duration(1))
	assert.Equal(t, table.PauseLeft(last, &Request{Service: "s", Exclude: []string{"a"}}), 4*time.Second+1)
	assert.Equal(t, table.PauseLeft(last.Add(1), &all), time.Duration(0))
	placed, refusal = table.Place(last.Add(1), request(1))
	assert.Equal(t, refusal, Refusal(""))
	assert.Equal(t, placed.Endpoint.ID, "a")
	table.RecordPause(start, &s.Endpoints["s"][0].Endpoint, 1<<62)
	_, refusal = table.Place(start.Add(maxPause), Request{Service: "s", RequiredEndpoint: "a"})
	assert.Equal(t, refusal, Refusal(""))
}

// Guards against statements that occupy more and more memory as endpoints come and go, and against a fleet with more endpoints
// than are kept in which a statement has no effect.
func TestStatementsAreBounded(t *testing.T) {
	ids := make([]string, maxStatements+10)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	table, s := newTable(0, ids...)
	for i := range s.Endpoints["s"] {
		table.RecordLeaving(start.Add(time.Duration(i)), &s.Endpoints["s"][i].Endpoint)
	}
	_, refusal := table.Place(start, request(1))
	assert.Equal(t, refusal, NoEndpoint)
	assert.Equal(t, len(table.statements), maxStatements)
}
