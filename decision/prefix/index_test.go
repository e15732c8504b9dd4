package prefix

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func chainOf(ids ...string) Chain {
	var c Chain
	for _, id := range ids {
		c = c.Append(id, 100)
	}
	return c
}

// Guards against parts that count as cached after other prompts have taken their memory, and against runs in progress whose memory
// counts as room for parts.
func TestChanceFallsWithTurnoverAndUse(t *testing.T) {
	x, on := NewIndex(), Engine{Number: 1, ID: "a", Free: 1000}
	x.Record(chainOf("own"), 200, &on)
	saved := func(given, free float64) float64 {
		on.Given, on.Free = given, free
		m := x.Match(chainOf("own"))
		return m.Saved(&on)
	}
	assert.Equal(t, saved(200, 1000), 100.0)
	assert.Equal(t, saved(1000, 1000), 50.0)
	assert.Equal(t, saved(1500, 1000), 0.0)
	assert.Equal(t, saved(200, 100), 0.0)
	assert.Equal(t, saved(0, 0), 0.0)
	// A session that comes again makes the part the latest one.
	on.Given, on.Free = 1500, 1000
	x.Record(chainOf("own"), 200, &on)
	assert.Equal(t, saved(1700, 1000), 100.0)
}

// Guards against an engine that is taken to have the cache of its former incarnation, and against state that is kept for it.
func TestEndedIncarnationIsForgotten(t *testing.T) {
	x, first, second := NewIndex(), Engine{Number: 1, ID: "a", Free: 1000}, Engine{Number: 2, ID: "a", Free: 1000}
	c := chainOf("own")
	x.Record(c, 200, &first)
	m := x.Match(c)
	assert.Equal(t, m.Saved(&second), 0.0)
	x.Retain(func(engine uint64) bool { return engine == 2 })
	m = x.Match(c)
	assert.Equal(t, m.Saved(&first), 0.0)
	assert.Equal(t, m.found[0].places, [maxPlaces]place{})
}

// Guards against a part that counts as cached although a part before it differs.
func TestBeginningsDependOnAllPartsBefore(t *testing.T) {
	x, on := NewIndex(), Engine{Number: 1, ID: "a", Free: 1000}
	x.Record(chainOf("a", "b", "c"), 300, &on)
	for saved, c := range map[float64]Chain{300: chainOf("a", "b", "c"), 200: chainOf("a", "b", "x"), 100: chainOf("a", "x", "c")} {
		m := x.Match(c)
		// What is not known from own placements is a guess by the demand, which is small on an engine that is not preferred.
		assert.Assert(t, m.Saved(&on) >= saved && m.Saved(&on) < saved+30, "%v for %v", m.Saved(&on), c)
	}
	m := x.Match(chainOf("x"))
	assert.Assert(t, m.Empty())
}

// Guards against an index that grows with the prompts, and against one that forgets those in use first.
func TestIndexIsBounded(t *testing.T) {
	x, on := NewIndex(), Engine{Number: 1, ID: "a", Free: 1000}
	for i := range 3 * maxEntries {
		x.Record(chainOf("used", fmt.Sprint(i)), 200, &on)
	}
	assert.Equal(t, x.Len(), maxEntries)
	assert.Equal(t, len(x.byHash), maxEntries)
	m := x.Match(chainOf("used", fmt.Sprint(0)))
	assert.Assert(t, m.found[0].entry != nil && !m.Whole())
}

// Guards against nodes that prefer different engines for the same beginning, or too many or too few of them, and against a guess that
// ignores how often the beginning is used.
func TestNodesPreferTheSameEngines(t *testing.T) {
	frequent, rare := NewIndex(), NewIndex()
	for i := range 200 {
		frequent.Record(chainOf("shared", fmt.Sprint(i)), 2500, &Engine{Number: 1})
		rare.Record(chainOf(fmt.Sprint("other", i), fmt.Sprint(i)), 2500, &Engine{Number: 1})
	}
	preferred := 0
	for i := range 1000 {
		on := Engine{Number: uint64(i + 2), ID: fmt.Sprint("e", i), Free: 20_000}
		f, r := frequent.Match(chainOf("shared", "new")), rare.Match(chainOf("shared", "new"))
		assert.Equal(t, f.Prefers(&on), r.Prefers(&on))
		// 8 requests fill the free memory; one in 133 has the new beginning, 4 times as many on a preferred engine: 1 - exp(-0.24).
		assert.Assert(t, f.Saved(&on) > 90 && r.Saved(&on) < 22, "%v, %v", f.Saved(&on), r.Saved(&on))
		if f.Prefers(&on) {
			preferred++
		}
	}
	assert.Assert(t, preferred > 60 && preferred < 125, "%d", preferred)
}
