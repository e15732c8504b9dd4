package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/fleet"
)

var start = time.Unix(1000, 0)

var params = Params{DataCentre: "a", RetryRatio: 0.2, RetryAllowance: 8, RetryWindow: 10 * time.Second, ColdOverage: 1.5, ColdSlack: 5}

// newTable returns a table of engines with memory for 10,000 tokens each, and the snapshot that lists them.
func newTable(coldFor time.Duration, ids ...string) (*Table, *fleet.Snapshot) {
	s := &fleet.Snapshot{
		Configuration: &catalog.Configuration{Services: map[string]*catalog.Service{"s": {
			Name: "s", ColdRate: 10, Engine: &catalog.Engine{Slots: 8, Capacity: 10_000, SupportsBackups: true, SupportsMoves: true},
		}}},
		Out: map[string]bool{}, Endpoints: map[string][]fleet.Endpoint{},
	}
	for _, id := range ids {
		e := fleet.Endpoint{Endpoint: catalog.Endpoint{ID: id, Service: "s", DataCentre: "a", Slots: 8, ColdFor: coldFor}}
		e.ColdUntil = start.Add(coldFor)
		s.Endpoints["s"] = append(s.Endpoints["s"], e)
	}
	t := NewTable(start.Add(-time.Hour), params, rand.New(rand.NewPCG(1, 2)))
	t.SetSnapshot(start, s)
	return t, s
}

func request(tokens int) Request { return Request{Service: "s", PromptTokens: tokens, Tokens: tokens} }

// Guards against nodes that together exceed the cold limit of an endpoint because each counts only its own requests.
func TestColdLimitIsSharedBetweenNodes(t *testing.T) {
	const nodes = 4
	sent := 0
	for range nodes {
		table, _ := newTable(time.Minute, "cold")
		table.SetNodes(nodes)
		for range 100 {
			placed, refusal := table.Place(start, request(1))
			if refusal == "" {
				sent++
				table.Release(start, placed.Run, Succeeded)
			}
		}
	}
	assert.Assert(t, sent > 0 && float64(sent) <= 10*params.ColdOverage+params.ColdSlack)
}

// Guards against a share below one request per second that every node rounds up to one.
func TestColdLimitHoldsForManyNodes(t *testing.T) {
	table, _ := newTable(time.Hour, "cold")
	table.SetNodes(200)
	sent := 0
	for i := range 1000 {
		placed, refusal := table.Place(start.Add(time.Duration(i)*10*time.Millisecond), request(1))
		if refusal == "" {
			sent++
			table.Release(start, placed.Run, Succeeded)
		}
	}
	// 20 requests per second for 200 nodes are one request in 10 s for each node.
	assert.Assert(t, sent <= 2, "%d sent in 10 s", sent)
}

// Guards against a restarted node that uses its share of a cold endpoint's limit twice within one window.
func TestRestartedNodeWaitsBeforeUsingItsColdShare(t *testing.T) {
	for nodes, wait := range map[int]time.Duration{1: time.Second, 200: 12500 * time.Millisecond} {
		table, s := newTable(time.Hour, "cold")
		table = NewTable(start, params, table.random)
		table.SetNodes(nodes)
		table.SetSnapshot(start, s)
		_, refusal := table.Place(start.Add(wait-time.Millisecond), request(1))
		assert.Equal(t, refusal, AllEndpointsCold)
		_, refusal = table.Place(start.Add(wait), request(1))
		assert.Equal(t, refusal, Refusal(""))
	}
}

// Guards against nodes that together exceed the retry budget because each uses all of it.
func TestRepeatsStayWithinNodeShareOfRetryBudget(t *testing.T) {
	table, _ := newTable(0, "a")
	table.SetNodes(4)
	repeats := 0
	for range 100 {
		r := request(1)
		r.Repeat = true
		if placed, refusal := table.Place(start, r); refusal == "" {
			repeats++
			table.Release(start, placed.Run, Succeeded)
		}
	}
	assert.Equal(t, repeats, 2)
}

// Guards against new requests on endpoints that are leaving, that are in a data centre that is out, or that have just accepted
// no connection.
func TestUnusableEndpointsGetNoRequests(t *testing.T) {
	table, s := newTable(0, "leaves", "out", "dead", "open")
	next := *s
	next.Out = map[string]bool{"b": true}
	next.Endpoints = map[string][]fleet.Endpoint{"s": append([]fleet.Endpoint(nil), s.Endpoints["s"]...)}
	next.Endpoints["s"][0].Leaving = true
	next.Endpoints["s"][1].DataCentre = "b"
	table.SetSnapshot(start, &next)
	for {
		r := request(1)
		r.RequiredEndpoint = "dead"
		placed, refusal := table.Place(start, r)
		if refusal != "" {
			break
		}
		table.Release(start, placed.Run, Unreachable)
	}
	for range 8 {
		placed, refusal := table.Place(start, request(1))
		assert.Equal(t, refusal, Refusal(""))
		assert.Equal(t, placed.Endpoint.ID, "open")
	}
}

// Guards against a copy on the engine that runs the request or on a full one, and against no copy although an engine outside
// the random sample has free memory.
func TestCopyIsPlacedOnAnyEngineWithFreeMemory(t *testing.T) {
	for seed := range uint64(50) {
		table, _ := newTable(0, "runs", "full", "room")
		table.random = rand.New(rand.NewPCG(seed, 0))
		full := request(9000)
		full.RequiredEndpoint = "full"
		_, refusal := table.Place(start, full)
		assert.Equal(t, refusal, Refusal(""))
		r := request(2000)
		r.Exclude, r.CopyPending, r.SpareMemoryOnly, r.Resumed = []string{"runs"}, true, true, true
		placed, refusal := table.Place(start, r)
		assert.Equal(t, refusal, Refusal(""))
		assert.Equal(t, placed.Endpoint.ID, "room")
	}
}

// Guards against copies in memory that new prompts need.
func TestNoCopiesWhenMemoryIsScarce(t *testing.T) {
	table, _ := newTable(0, "a", "b", "c", "d")
	standby := request(1500)
	standby.SpareMemoryOnly, standby.CopyPending, standby.Resumed = true, true, true
	standby.Exclude = []string{"a"}
	for _, id := range []string{"a", "b", "c"} {
		r := request(9000)
		r.RequiredEndpoint = id
		_, refusal := table.Place(start, r)
		assert.Equal(t, refusal, Refusal(""))
	}
	// Engine d is empty, but the four hold 27,000 of 40,000 tokens.
	assert.Assert(t, !table.UnderMemoryPressure(start, "s"))
	placed, refusal := table.Place(start, standby)
	assert.Equal(t, refusal, Refusal(""))
	assert.Equal(t, placed.Endpoint.ID, "d")
	assert.Assert(t, table.UnderMemoryPressure(start, "s"))
	_, refusal = table.Place(start, standby)
	assert.Equal(t, refusal, AllEndpointsFull)
	backed := request(1000)
	backed.Backup = true
	placed, refusal = table.Place(start, backed)
	assert.Equal(t, refusal, Refusal(""))
	assert.Equal(t, placed.Backup.ID, "")
}

// Guards against a request that should wait for memory being placed on an engine on which its memory does not fit.
func TestRequireMemoryFitRefusesUntilMemoryFits(t *testing.T) {
	table, _ := newTable(0, "a")
	_, refusal := table.Place(start, request(8000))
	assert.Equal(t, refusal, Refusal(""))
	r := request(3000)
	r.RequireMemoryFit = true
	_, refusal = table.Place(start, r)
	assert.Equal(t, refusal, AllEndpointsFull)
	r.RequireMemoryFit = false
	_, refusal = table.Place(start, r)
	assert.Equal(t, refusal, Refusal(""))
}

// Guards against load that remains after its run has ended, and against the run of an earlier incarnation being subtracted
// from the load of a restarted endpoint.
func TestReleasedRunsAreNotCountedInLoad(t *testing.T) {
	table, s := newTable(0, "a", "b")
	r := request(100)
	r.Backup = true
	placed, _ := table.Place(start, r)
	assert.Equal(t, len(table.OwnLoads()), 2)
	assert.Assert(t, !table.OwnLoadsChanged())
	table.RecordFirstEvent(placed.Run)
	assert.Assert(t, table.OwnLoadsChanged())
	table.OwnLoads()
	table.Release(start, placed.Run, Succeeded)
	assert.Assert(t, table.OwnLoadsChanged())
	assert.Equal(t, len(table.OwnLoads()), 0)
	placed, _ = table.Place(start, r)
	restarted := *s
	restarted.Endpoints = map[string][]fleet.Endpoint{"s": append([]fleet.Endpoint(nil), s.Endpoints["s"]...)}
	for i := range restarted.Endpoints["s"] {
		restarted.Endpoints["s"][i].Born = 2
	}
	table.SetSnapshot(start, &restarted)
	table.Release(start, placed.Run, Broken)
	assert.Equal(t, len(table.OwnLoads()), 0)
}

// Guards against nodes with the same load figures that all choose the same endpoint.
func TestNodesWithEqualLoadViewsSpreadRequests(t *testing.T) {
	ids := make([]string, 50)
	for i := range ids {
		ids[i] = string(rune('A' + i))
	}
	chosen := map[string]int{}
	for seed := range uint64(64) {
		table, _ := newTable(0, ids...)
		table.SetNodes(64)
		table.random = rand.New(rand.NewPCG(seed, 0))
		for _, id := range ids[1:] {
			busy := request(100)
			busy.RequiredEndpoint = id
			_, refusal := table.Place(start, busy)
			assert.Equal(t, refusal, Refusal(""))
		}
		placed, _ := table.Place(start, request(100))
		chosen[placed.Endpoint.ID]++
	}
	for id, n := range chosen {
		assert.Assert(t, n <= 16, "%d of 64 nodes chose %s", n, id)
	}
}

// Guards against load that is lost because it was reported before the endpoint was listed, and against a partial report that
// clears the load of other endpoints.
func TestOthersLoadIsKeptForEndpointsListedLater(t *testing.T) {
	table, s := newTable(0, "x")
	table.SetOthersLoad(start, []Load{{Endpoint: "x", InFlight: 2}, {Endpoint: "y", InFlight: 3}})
	table.UpdateOthersLoad(start, []Load{{Endpoint: "x", InFlight: 1}})
	_, later := newTable(0, "x", "y")
	table.SetSnapshot(start, later)
	assert.Equal(t, table.endpoints["x"].others.InFlight, 1)
	assert.Equal(t, table.endpoints["y"].others.InFlight, 3)
	table.SetOthersLoad(start, nil)
	table.SetSnapshot(start, s)
	table.SetSnapshot(start, later)
	assert.Equal(t, table.endpoints["y"].others, Load{})
}
