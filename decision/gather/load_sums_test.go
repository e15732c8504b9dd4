package gather

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

var start = time.Unix(100, 0)

func fullUpdate(seq uint64, loads ...dispatch.Load) Update {
	return Update{Epoch: 1, Seq: seq, Full: true, Loads: loads}
}

// Guards against a node that counts its own requests twice, and against the load of nodes that have stopped reporting.
func TestLoadOfOthersExcludesOwnLoadAndSilentNodes(t *testing.T) {
	s := NewLoadSums(1)
	s.ApplyNodeUpdate(start, "a", fullUpdate(1, dispatch.Load{Endpoint: "x", InFlight: 1, Tokens: 10}))
	s.ApplyNodeUpdate(start, "b", fullUpdate(1, dispatch.Load{Endpoint: "x", InFlight: 2, Tokens: 20}, dispatch.Load{Endpoint: "y", InFlight: 3}))
	s.ApplyDataCentreUpdate(start, "west", "r", fullUpdate(1, dispatch.Load{Endpoint: "x", InFlight: 4, Prefill: 7}))
	assert.DeepEqual(t, s.LoadOfOthers("a"), []dispatch.Load{{Endpoint: "x", InFlight: 6, Tokens: 20, Prefill: 7}, {Endpoint: "y", InFlight: 3}})
	assert.DeepEqual(t, s.Next(start).ForDataCentres().Loads, []dispatch.Load{{Endpoint: "x", InFlight: 3, Tokens: 30}, {Endpoint: "y", InFlight: 3}})
	s.Expire(start.Add(reportExpiry + time.Second))
	assert.Equal(t, len(s.LoadOfOthers("a")), 0)
}

// Guards against two nodes that choose different relays, and against relays on nodes that are too small for the updates of a
// large data centre.
func TestLargestNodesAreRelaysInAnyOrder(t *testing.T) {
	small := []RelayCandidate{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	assert.DeepEqual(t, Relays([]RelayCandidate{small[2], small[0], small[1]}), small[:2])
	assert.DeepEqual(t, Relays([]RelayCandidate{small[1], small[2], small[0]}), small[:2])
	large := RelayCandidate{ID: "z", Capacity: 800}
	assert.DeepEqual(t, Relays([]RelayCandidate{small[1], {ID: "c", Capacity: 192}, large}), []RelayCandidate{large, {ID: "c", Capacity: 192}})
	assert.Equal(t, len(Relays(nil)), 0)
}

// Guards against load that counts twice because both relays of a data centre report it, or not at all once the first relay has
// failed.
func TestSecondRelayReplacesSilentFirst(t *testing.T) {
	s := NewLoadSums(1)
	load := dispatch.Load{Endpoint: "x", InFlight: 1}
	s.ApplyDataCentreUpdate(start, "west", "r2", fullUpdate(1, load))
	s.ApplyDataCentreUpdate(start, "west", "r1", fullUpdate(1, load))
	assert.DeepEqual(t, s.LoadOfOthers("a"), []dispatch.Load{load})
	later := start.Add(RelaySilence + time.Millisecond)
	load.InFlight = 5
	s.ApplyDataCentreUpdate(later, "west", "r2", fullUpdate(2, load))
	assert.DeepEqual(t, s.LoadOfOthers("a"), []dispatch.Load{load})
	s.ApplyDataCentreUpdate(later, "west", "r1", fullUpdate(2, dispatch.Load{Endpoint: "x", InFlight: 4}))
	assert.DeepEqual(t, s.LoadOfOthers("a"), []dispatch.Load{{Endpoint: "x", InFlight: 4}})
}

// Guards against a placed prompt whose update is delayed, and against frequent updates while nothing changes.
func TestPromptChangesAreSentUrgently(t *testing.T) {
	r := NewReporter(1)
	r.Next(start)
	assert.Equal(t, r.Due(), start.Add(reportIdleInterval))
	r.SetLoad(start, []dispatch.Load{{Endpoint: "plain", InFlight: 1}})
	assert.Equal(t, r.Due(), start.Add(changeInterval))
	r.SetLoad(start, []dispatch.Load{{Endpoint: "engine", InFlight: 1, Tokens: 100, Prefill: 100}, {Endpoint: "plain", InFlight: 1}})
	assert.Equal(t, r.Due(), start.Add(urgentInterval))
	u := r.Next(start.Add(urgentInterval))
	assert.Equal(t, len(u.Loads), 2)
	r.SetLoad(start, nil)
	u = r.Next(start.Add(2 * urgentInterval))
	assert.DeepEqual(t, u.Loads, []dispatch.Load{{Endpoint: "engine"}, {Endpoint: "plain"}})
}

// Guards against a relay whose messages a second grow with the number of its receivers.
func TestUpdatesAreSpacedByTheirReceivers(t *testing.T) {
	s := NewLoadSums(1)
	s.SetReceivers(100)
	s.Next(start)
	s.ApplyNodeUpdate(start, "a", fullUpdate(1, dispatch.Load{Endpoint: "x", InFlight: 1, Prefill: 7}))
	assert.Equal(t, s.Due(), start.Add(100*receiverSpacing))
	s.SetReceivers(4)
	assert.Equal(t, s.Due(), start.Add(urgentInterval))
}

// Guards against a relay whose full updates fill its link on a fleet with thousands of endpoints.
func TestFullUpdatesOfManyEndpointsAreRare(t *testing.T) {
	for endpoints, want := range map[int]time.Duration{10: fullInterval, 1024: 4 * fullInterval, 12000: maxFullInterval} {
		s := NewLoadSums(1)
		var loads []dispatch.Load
		for i := range endpoints {
			loads = append(loads, dispatch.Load{Endpoint: fmt.Sprint(i), InFlight: 1})
		}
		s.ApplyNodeUpdate(start, "a", fullUpdate(1, loads...))
		assert.Assert(t, s.Next(start).ForNode("b").Full)
		assert.Assert(t, !s.Next(start.Add(want-time.Millisecond)).ForNode("b").Full, "%d", endpoints)
		assert.Assert(t, s.Next(start.Add(want)).ForNode("b").Full, "%d", endpoints)
	}
}

// Guards against sums that differ from the load of the nodes after updates were lost, arrived in another order or came from a
// restarted process.
func TestLoadSumsConvergeAfterLostUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		sums := NewLoadSums(1)
		nodes := []string{"a", "b", "c"}
		reporters, loads := map[string]*Reporter{}, map[string][]dispatch.Load{}
		for _, n := range nodes {
			reporters[n] = NewReporter(random.Uint64())
		}
		now := start
		var delayed []func()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(random.Int64N(int64(50 * time.Millisecond))))
			n := nodes[random.IntN(len(nodes))]
			if random.IntN(20) == 0 {
				reporters[n], loads[n] = NewReporter(random.Uint64()), nil
			}
			loads[n] = drawLoads(random)
			reporters[n].SetLoad(now, loads[n])
			u := reporters[n].Next(now)
			switch random.IntN(4) {
			case 0:
			case 1:
				delayed = append(delayed, func() { sums.ApplyNodeUpdate(now, n, u) })
			default:
				sums.ApplyNodeUpdate(now, n, u)
			}
			for len(delayed) > 2 {
				delayed[0]()
				delayed = delayed[1:]
			}
		}
		// One full update of each node corrects all sums. No update of an earlier process is in transit at that time.
		for _, n := range nodes {
			reporters[n].RequestFullUpdate()
			sums.ApplyNodeUpdate(now, n, reporters[n].Next(now))
		}
		for _, n := range nodes {
			want := map[string]dispatch.Load{}
			for other, list := range loads {
				if other != n {
					addChanges(want, list)
				}
			}
			got := map[string]dispatch.Load{}
			addChanges(got, sums.LoadOfOthers(n))
			assert.DeepEqual(t, got, want)
		}
	})
}

func drawLoads(random *rand.Rand) []dispatch.Load {
	var loads []dispatch.Load
	for _, id := range []string{"x", "y", "z"} {
		if random.IntN(2) == 0 {
			loads = append(loads, dispatch.Load{
				Endpoint: id, InFlight: random.IntN(3), Tokens: random.IntN(2) * 100, Prefill: random.IntN(2) * 50,
				SpeedSum: random.IntN(200) - 100, SpeedCount: 1 + random.IntN(30),
			})
		}
	}
	return loads
}
