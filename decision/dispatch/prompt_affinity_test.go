package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/prefix"
)

// newAffinitySimulation returns a simulation in which each request takes one of some shared beginnings: of a number of tokens for a
// short and a long request. The rest of the prompt is its own.
func newAffinitySimulation(seed uint64, affinity, speed bool, load float64, beginnings, short, long int) *speedSimulation {
	s := newSpeedSimulation(seed, speed, load)
	for _, n := range s.nodes {
		n.table.params.PromptAffinity = affinity
	}
	own := 0
	s.chain = func(isLong bool) prefix.Chain {
		own++
		shared, rest := short, 2550-short
		if isLong {
			shared, rest = long, 3079-long
		}
		return prefix.Chain(nil).Append(fmt.Sprint("shared ", shared, s.random.IntN(beginnings)), shared).Append(fmt.Sprint("own ", own), rest)
	}
	return s
}

func (s *speedSimulation) saved() int {
	saved := 0
	for _, e := range s.engines {
		saved += e.cache.saved
	}
	return saved
}

func (s *speedSimulation) meanFirst() time.Duration {
	return s.firstSum / time.Duration(max(1, s.ended))
}

func (s *speedSimulation) affinity() string {
	share := 100 * float64(s.saved()) / float64(s.prompted)
	return fmt.Sprintf("%v; %d of %d prompt tokens saved (%.1f%%), %.0f expected", s, s.saved(), s.prompted, share, s.expectedSaved)
}

// Guards against 63 nodes that place the same beginning on the engines that all of them prefer, at the same moment.
func TestPreferredEnginesAreNotFlooded(t *testing.T) {
	for _, speed := range []bool{false, true} {
		worst := 0
		for seed := range uint64(20) {
			s := newAffinitySimulation(seed, true, speed, 0.5, 1, 2000, 2000)
			chosen := map[string]int{}
			for i, n := range s.nodes {
				for range 30 {
					// Each node knows that nearly all requests have the beginning, and an idle fleet.
					n.table.prompts.index("s").Record(s.chain(false), 2550, &prefix.Engine{Number: 1000})
				}
				placed, refusal := n.table.Place(s.now, Request{Service: "s", PromptTokens: 2550, Tokens: 2558, Prompt: s.chain(false)})
				assert.Equal(t, refusal, Refusal(""), "node %d", i)
				chosen[placed.Endpoint.ID]++
			}
			for _, n := range chosen {
				worst = max(worst, n)
			}
		}
		t.Logf("speed %v: at most %d of 63 nodes on one engine", speed, worst)
		assert.Assert(t, worst <= 14, "%d of 63 nodes chose one engine", worst)
	}
}

// Guards against shared beginnings that are computed again on every engine, with and without measured speeds.
func TestLongSharedBeginningsAreSaved(t *testing.T) {
	for _, speed := range []bool{false, true} {
		for seed := range uint64(2) {
			before := newAffinitySimulation(seed, false, speed, 0.5, 16, 2000, 2000)
			after := newAffinitySimulation(seed, true, speed, 0.5, 16, 2000, 2000)
			before.run(30*time.Second, nil)
			after.run(30*time.Second, nil)
			t.Logf("speed %v, seed %d, before: %s", speed, seed, before.affinity())
			t.Logf("speed %v, seed %d, after: %s", speed, seed, after.affinity())
			assert.Check(t, after.saved()*100 > before.saved()*120 && after.meanFirst() < before.meanFirst(), "before: %v, after: %v", before, after)
			ratio := after.expectedSaved / float64(after.saved())
			assert.Check(t, ratio > 0.7 && ratio < 1.4, "%v of the saved tokens were expected", ratio)
		}
	}
}

// Guards against the small shared beginnings of deployment B that draw requests to engines where they wait.
func TestSmallSharedBeginningsCostNothing(t *testing.T) {
	for _, speed := range []bool{false, true} {
		before, after := newAffinitySimulation(7, false, speed, 1, 8, 350, 79), newAffinitySimulation(7, true, speed, 1, 8, 350, 79)
		before.run(30*time.Second, nil)
		after.run(30*time.Second, nil)
		t.Logf("speed %v, before: %s", speed, before.affinity())
		t.Logf("speed %v, after: %s", speed, after.affinity())
		assert.Assert(t, after.late <= before.late+5 && after.meanFirst() < before.meanFirst()*21/20, "before: %v, after: %v", before, after)
	}
}

// newAffinityTable returns a table with the feature that has placed a request of a session on one of 30 engines.
func newAffinityTable(t *testing.T) (*Table, *fleet.Snapshot, Request, string) {
	ids := make([]string, 30)
	for i := range ids {
		ids[i] = fmt.Sprint("e", i)
	}
	table, snapshot := newTable(0, ids...)
	table.params.PromptAffinity = true
	table.SetNodes(63)
	r := Request{Service: "s", PromptTokens: 3000, Tokens: 3100, Prompt: prefix.Chain(nil).Append("session", 3000)}
	placed, refusal := table.Place(start, r)
	assert.Equal(t, refusal, Refusal(""))
	table.Release(start, placed.Run, Succeeded)
	return table, snapshot, r, placed.Endpoint.ID
}

// Guards against a session that computes its prompt on another engine although its engine is idle, and against one that goes there when
// a longer queue waits there, when the engine is excluded, has restarted, or the setting was switched off,
// and against more saved tokens than the prompt has.
func TestSessionReturnsToItsEngine(t *testing.T) {
	place := func(table *Table, r Request) Placement {
		placed, refusal := table.Place(start, r)
		assert.Equal(t, refusal, Refusal(""))
		return placed
	}
	table, _, r, first := newAffinityTable(t)
	placed := place(table, r)
	assert.Equal(t, placed.Endpoint.ID, first)
	assert.Equal(t, placed.CachedTokens, 3000.0)

	table, _, r, first = newAffinityTable(t)
	table.SetOthersLoad(start, []Load{{Endpoint: first, InFlight: 2, Tokens: 1000, Prefill: 4000}})
	assert.Assert(t, place(table, r).Endpoint.ID != first)

	// The parts are larger than the prompt that the caller states.
	table, _, r, _ = newAffinityTable(t)
	r.PromptTokens = 500
	assert.Equal(t, place(table, r).CachedTokens, 500.0)

	table, _, r, first = newAffinityTable(t)
	r.Exclude = []string{first}
	assert.Assert(t, place(table, r).Endpoint.ID != first)

	table, snapshot, r, first := newAffinityTable(t)
	for i := range snapshot.Endpoints["s"] {
		snapshot.Endpoints["s"][i].Born++
	}
	table.SetSnapshot(start, snapshot)
	r.RequiredEndpoint = first
	assert.Equal(t, place(table, r).CachedTokens, 0.0)

	table, _, r, first = newAffinityTable(t)
	table.params.PromptAffinity, r.RequiredEndpoint = false, first
	assert.Equal(t, place(table, r).CachedTokens, 0.0)
}

// Guards against complete reports of the same load, and reports that were lost meanwhile, that count as new work.
func TestRepeatedReportsAreNotCountedAsGiven(t *testing.T) {
	table, _ := newTable(0, "a")
	e := table.endpoints["a"]
	for range 3 {
		table.SetOthersLoad(start, []Load{{Endpoint: "a", Tokens: 1000}})
	}
	assert.Equal(t, e.given, 1000.0)
	table.ExpireOthersLoad(start.Add(time.Minute))
	table.UpdateOthersLoad(start, []Load{{Endpoint: "a", Tokens: 1000}})
	assert.Equal(t, e.given, 1000.0)
	table.SetOthersLoad(start, nil)
	table.SetOthersLoad(start, []Load{{Endpoint: "a", Tokens: 700}})
	assert.Equal(t, e.given, 1700.0)
}

// Guards against choices that depend on the parts of prompts although the setting is off.
func TestPartsOfPromptsChangeNothingWithoutAffinity(t *testing.T) {
	with, without := newAffinitySimulation(3, false, true, 0.5, 4, 2000, 2000), newSpeedSimulation(3, true, 0.5)
	for i := range 500 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		r := Request{Service: "s", PromptTokens: 2550, Tokens: 2558}
		a, refusedA := without.nodes[i%8].table.Place(now, r)
		r.Prompt = with.chain(false)
		b, refusedB := with.nodes[i%8].table.Place(now, r)
		assert.Equal(t, refusedA, refusedB)
		assert.DeepEqual(t, a, b)
	}
	assert.Equal(t, len(with.nodes[0].table.prompts.indexes), 0)
}
