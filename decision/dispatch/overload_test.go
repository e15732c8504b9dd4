package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The classes of deployment A on its engines.
func longStreams() *overloadClass {
	return &overloadClass{
		name: "long", perSecond: 18.2, prompt: 3079, output: 752, priority: 2, objective: 4000, deadline: 39_000, leave: 16_000, migrates: true,
	}
}

func shortStreams() *overloadClass {
	return &overloadClass{name: "short", perSecond: 35.4, prompt: 2550, output: 8, objective: 1500, deadline: 6000, leave: 6000}
}

// simulateBurst simulates 25 s on two thirds of the engines, with waves of departures, and twice the usual number of long streams from
// second 4 to 14.
func simulateBurst(seed uint64, ordered bool, adjust func(*overloadFleet)) *overloadFleet {
	f := newOverloadFleet(seed, ordered, 29, longStreams(), shortStreams())
	f.rate = func(now int, c *overloadClass) float64 {
		if c.name == "long" && now > 4000 && now < 14_000 {
			return 2
		}
		return 1
	}
	f.departures = 0.17
	if adjust != nil {
		adjust(f)
	}
	f.run(25_000)
	for name, r := range f.results {
		f.log = append(f.log, name, *r)
	}
	return f
}

// Guards against urgent requests that wait behind long prompts on the engines, against long streams that lose more than that costs, and
// against migrations that find no memory, on many nodes that decide on the same delayed figures.
func TestUrgentRequestsAreInTimeDuringBurst(t *testing.T) {
	before, after := simulateBurst(1, false, nil), simulateBurst(1, true, nil)
	t.Log("before", before.log, "after", after.log)
	short, long := after.results["short"], after.results["long"]
	assert.Assert(t, float64(short.requests-short.inTime) <= 0.05*float64(short.requests))
	assert.Assert(t, float64(long.inTime) >= 0.97*float64(before.results["long"].inTime))
	assert.Assert(t, long.cut*10 <= before.results["long"].cut)
}

// Guards against nodes that starve or block each other while they don't hear what waits elsewhere, and while a relay is lost and a
// third of the nodes has old figures for a second.
func TestUrgentRequestsAreInTimeWithoutNews(t *testing.T) {
	for name, isolated := range map[string]func(now, node int) bool{
		"half of the nodes partitioned": func(now, node int) bool { return node%2 == 0 && now > 6000 && now < 12_000 },
		"relay lost":                    func(now, node int) bool { return node%3 == 0 && now > 8000 && now < 9000 },
	} {
		f := simulateBurst(2, true, func(f *overloadFleet) { f.isolated = isolated })
		t.Log(name, f.log)
		short := f.results["short"]
		assert.Assert(t, float64(short.requests-short.inTime) <= 0.1*float64(short.requests), name)
	}
}

// Guards against a workspace whose flood costs the other workspaces more than 5% of their answers in time.
func TestFloodOfOneWorkspace(t *testing.T) {
	simulate := func(flood float64) *overloadFleet {
		class := shortStreams()
		class.perSecond = 60
		extra := shortStreams()
		extra.name, extra.perSecond, extra.workspace = "flood", flood, "w0"
		f := newOverloadFleet(3, true, 29, class, extra)
		f.run(15_000)
		return f
	}
	without, with := simulate(0).results["short"], simulate(100).results
	t.Log("without", *without, "with", *with["short"], "flood", *with["flood"])
	share := func(r *overloadResult) float64 { return float64(r.othersInTime) / float64(r.others) }
	assert.Assert(t, share(with["short"]) >= 0.95*share(without))
	assert.Assert(t, with["flood"].inTime > 0)
}

// Guards against a less urgent class that gets nothing while the urgent one alone exceeds the capacity.
func TestLessUrgentClassIsServedUnderUrgentOverload(t *testing.T) {
	urgent := shortStreams()
	urgent.perSecond = 110
	f := newOverloadFleet(4, true, 29, longStreams(), urgent)
	f.run(15_000)
	t.Log(*f.results["long"], *f.results["short"])
	assert.Assert(t, f.results["long"].inTime*10 >= f.results["long"].requests)
}
