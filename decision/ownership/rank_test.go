package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func nodeNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("node-%04d", i))
	}
	return names
}

// Guards against two candidates of the same rank, which would try to acquire a resource at the same time.
func TestRanksAreAPermutation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		candidates := nodeNames(rapid.IntRange(1, 40).Draw(rt, "nodes"))
		resource := rapid.String().Draw(rt, "resource")
		var ranks []int
		for _, c := range candidates {
			rank := Rank(resource, c, candidates)
			ranks = append(ranks, rank)
			if (rank == 0) != (Preferred(resource, candidates) == c) {
				rt.Fatalf("rank %d of %s contradicts the preferred node", rank, c)
			}
		}
		slices.Sort(ranks)
		for i, rank := range ranks {
			if i != rank {
				rt.Fatalf("ranks are not a permutation: %v", ranks)
			}
		}
	})
}

// Guards against a departure that moves resources between the remaining nodes, and against more owners than the key-value
// service can serve.
func TestDepartureMovesOnlyItsOwnResources(t *testing.T) {
	members := nodeNames(1500)
	before := Candidates(slices.Clone(members))
	assert.Equal(t, len(before), MaxCandidates)
	departed := before[0]
	after := Candidates(slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == departed }))
	assert.Equal(t, len(after), MaxCandidates)
	kept := 0
	for _, c := range after {
		if slices.Contains(before, c) {
			kept++
		}
	}
	assert.Equal(t, kept, MaxCandidates-1)
	remaining := slices.DeleteFunc(slices.Clone(before), func(m string) bool { return m == departed })
	for shard := range ClaimShards {
		name := ClaimShardName(shard)
		if p := Preferred(name, before); p != departed {
			assert.Equal(t, Preferred(name, remaining), p)
		}
	}
}

// Guards against a hand-over to a node that has just started, or by a node that holds no more than its share.
func TestHandOver(t *testing.T) {
	now := time.Now()
	candidates := nodeNames(2)
	var held []string
	for shard := range ClaimShards {
		held = append(held, ClaimShardName(shard))
	}
	since := map[string]time.Time{candidates[0]: now.Add(-time.Hour), candidates[1]: now.Add(-SettlingTime + time.Second)}
	assert.Equal(t, NextHandOver(candidates[0], held, len(held), candidates, since, now), "")
	now = now.Add(time.Second)
	resource := NextHandOver(candidates[0], held, len(held), candidates, since, now)
	assert.Equal(t, Preferred(resource, candidates), candidates[1])
	assert.Equal(t, NextHandOver(candidates[0], held[:len(held)/2], len(held), candidates, since, now), "")
}
