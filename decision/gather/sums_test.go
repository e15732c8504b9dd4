package gather

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

var start = time.Unix(100, 0)

// full returns a full update.
func full(seq uint64, loads ...dispatch.Load) Update {
	return Update{Epoch: 1, Seq: seq, Full: true, Loads: loads}
}

// Guards against a node that counts its own requests twice, and against load of nodes that are gone.
func TestOthersLeaveOutTheNodeAndTheSilent(t *testing.T) {
	s := NewSums(1)
	s.Report(start, "a", full(1, dispatch.Load{Endpoint: "x", InFlight: 1, Tokens: 10}))
	s.Report(start, "b", full(1, dispatch.Load{Endpoint: "x", InFlight: 2, Tokens: 20}, dispatch.Load{Endpoint: "y", InFlight: 3}))
	s.DataCentre(start, "west", "r", full(1, dispatch.Load{Endpoint: "x", InFlight: 4, Prefill: 7}))
	assert.DeepEqual(t, s.Others("a"), []dispatch.Load{{Endpoint: "x", InFlight: 6, Tokens: 20, Prefill: 7}, {Endpoint: "y", InFlight: 3}})
	assert.DeepEqual(t, s.Next(start).OfDataCentre().Loads, []dispatch.Load{{Endpoint: "x", InFlight: 3, Tokens: 30}, {Endpoint: "y", InFlight: 3}})
	s.Expire(start.Add(silence + time.Second))
	assert.Equal(t, len(s.Others("a")), 0)
}

// Guards against two nodes that disagree on who relays.
func TestRelaysDoNotDependOnTheOrder(t *testing.T) {
	assert.DeepEqual(t, Relays([]string{"c", "a", "b"}), Relays([]string{"b", "c", "a"}))
	assert.DeepEqual(t, Relays([]string{"c", "a", "b"}), []string{"a", "b"})
	assert.Equal(t, len(Relays(nil)), 0)
}

// Guards against load that counts twice because both relays of a data centre tell it, or not at all once the first is gone.
func TestSecondRelayStandsIn(t *testing.T) {
	s := NewSums(1)
	load := dispatch.Load{Endpoint: "x", InFlight: 1}
	s.DataCentre(start, "west", "r2", full(1, load))
	s.DataCentre(start, "west", "r1", full(1, load))
	assert.DeepEqual(t, s.Others("a"), []dispatch.Load{load})
	later := start.Add(RelaySilence + time.Millisecond)
	load.InFlight = 5
	s.DataCentre(later, "west", "r2", full(2, load))
	assert.DeepEqual(t, s.Others("a"), []dispatch.Load{load})
	s.DataCentre(later, "west", "r1", full(2, dispatch.Load{Endpoint: "x", InFlight: 4}))
	assert.DeepEqual(t, s.Others("a"), []dispatch.Load{{Endpoint: "x", InFlight: 4}})
}

// Guards against news of a placed prompt that waits for the next tick, and against messages while nothing happens.
func TestPromptsAreToldAtOnce(t *testing.T) {
	r := NewReporter(1)
	r.Next(start)
	assert.Equal(t, r.Due(), start.Add(quietSpacing))
	r.Note(start, []dispatch.Load{{Endpoint: "plain", InFlight: 1}})
	assert.Equal(t, r.Due(), start.Add(changeSpacing))
	r.Note(start, []dispatch.Load{{Endpoint: "engine", InFlight: 1, Tokens: 100, Prefill: 100}, {Endpoint: "plain", InFlight: 1}})
	assert.Equal(t, r.Due(), start.Add(urgentSpacing))
	u := r.Next(start.Add(urgentSpacing))
	assert.Equal(t, len(u.Loads), 2)
	r.Note(start, nil)
	u = r.Next(start.Add(2 * urgentSpacing))
	assert.DeepEqual(t, u.Loads, []dispatch.Load{{Endpoint: "engine"}, {Endpoint: "plain"}})
}

// Guards against sums that drift from what the nodes have in flight when updates are lost, arrive in another order, or come
// from a process that was started anew.
func TestSumsFollowLossyUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		sums := NewSums(1)
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
			reporters[n].Note(now, loads[n])
			u := reporters[n].Next(now)
			switch random.IntN(4) {
			case 0:
			case 1:
				delayed = append(delayed, func() { sums.Report(now, n, u) })
			default:
				sums.Report(now, n, u)
			}
			for len(delayed) > 2 {
				delayed[0]()
				delayed = delayed[1:]
			}
		}
		// One full update of each node makes up for everything. Updates of an earlier process are no longer on the way then.
		for _, n := range nodes {
			reporters[n].Refresh()
			sums.Report(now, n, reporters[n].Next(now))
		}
		for _, n := range nodes {
			want := map[string]dispatch.Load{}
			for other, list := range loads {
				if other != n {
					apply(want, list)
				}
			}
			got := map[string]dispatch.Load{}
			apply(got, sums.Others(n))
			assert.DeepEqual(t, got, want)
		}
	})
}

func drawLoads(random *rand.Rand) []dispatch.Load {
	var loads []dispatch.Load
	for _, id := range []string{"x", "y", "z"} {
		if random.IntN(2) == 0 {
			loads = append(loads, dispatch.Load{Endpoint: id, InFlight: 1 + random.IntN(3), Tokens: random.IntN(2) * 100, Prefill: random.IntN(2) * 50})
		}
	}
	return loads
}
