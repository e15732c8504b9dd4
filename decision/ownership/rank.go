package ownership

import (
	"cmp"
	"slices"

	"azuredyke.dev/azuredyke/common/rendezvous"
)

// MaxCandidates bounds the number of nodes that may own resources, and so the lease renewals and the watches of owner
// records: 128 nodes that renew every 2 s make 64 writes per second.
const MaxCandidates = 128

// Candidates returns the members that may own resources, at most MaxCandidates. It selects them by rendezvous hash, so
// that the same members give the same candidates on all nodes, and a change of one member changes at most one candidate.
func Candidates(members []string) []string {
	candidates := slices.Compact(slices.Sorted(slices.Values(members)))
	if len(candidates) <= MaxCandidates {
		return candidates
	}
	sortByScore(candidates, "owner")
	return candidates[:MaxCandidates]
}

// Rank returns the position of a node in the order in which candidates try to acquire a resource; the preferred node has
// rank 0. The rank of a node that is not a candidate is len(candidates).
func Rank(resource, node string, candidates []string) int {
	own := rendezvous.Score(resource, node)
	rank, found := 0, false
	for _, c := range candidates {
		if c == node {
			found = true
		} else if w := rendezvous.Score(resource, c); w > own || w == own && c < node {
			rank++
		}
	}
	if !found {
		return len(candidates)
	}
	return rank
}

// Preferred returns the candidate of rank 0, or "" if there are no candidates.
func Preferred(resource string, candidates []string) string {
	return rendezvous.First(resource, candidates)
}

func sortByScore(nodes []string, resource string) {
	slices.SortFunc(nodes, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Score(resource, b), rendezvous.Score(resource, a)), cmp.Compare(a, b))
	})
}
