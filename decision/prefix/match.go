package prefix

import (
	"math"
	"strconv"

	"azuredyke.dev/azuredyke/common/rendezvous"
)

const (
	// PreferredShare is the share of the engines of a service that all nodes prefer for a beginning: 4 of 44. More engines compute
	// the beginning more often, fewer have too little room for all requests with it.
	PreferredShare = 1.0 / 11
	// followedShare is the share of the requests that are assumed to follow the preference. The others go where it is faster.
	followedShare = 0.3
)

// Match is what an index knows of one prompt. The zero value knows nothing. It is valid until the next Record.
type Match struct {
	index *Index
	// found holds the beginnings that the engines may have, shortest first: all shared ones, and the whole prompt if it is known.
	found []matched
	// whole is set if the whole prompt is known, which only its session repeats.
	whole bool
}

// matched is a beginning of a prompt.
type matched struct {
	// entry is nil if this node has not placed the beginning.
	*entry
	tokens int
	// demand is the share of the requests that have it; 0 for the whole prompt, whose requests don't come to all nodes.
	demand float64
	key    string
}

// Match returns what is known of a prompt, or guessed by the demand for others.
func (x *Index) Match(c Chain) Match {
	m := Match{index: x}
	for i, b := range c {
		f := matched{tokens: b.PartTokens}
		if known := x.byHash[b.Hash]; known != nil {
			f.entry = &known.Value.(*keyedEntry).entry
		}
		if last := i == len(c)-1; !last {
			f.demand, f.key = x.demand(f.entry), strconv.FormatUint(b.Hash, 36)
		} else if m.whole = f.entry != nil; !m.whole {
			break
		}
		m.found = append(m.found, f)
	}
	return m
}

// Empty reports whether nothing is expected to be cached.
func (m *Match) Empty() bool { return len(m.found) == 0 }

// Whole reports whether this node has placed the whole prompt.
func (m *Match) Whole() bool { return m.whole }

// Saved returns the expected number of prompt tokens that an engine has cached. An engine that has a beginning has all shorter ones.
func (m *Match) Saved(on *Engine) float64 {
	saved, chance := 0.0, 0.0
	for i := len(m.found) - 1; i >= 0; i-- {
		f := &m.found[i]
		chance = math.Max(chance, math.Max(f.keptChance(on), m.sharedChance(f, on)))
		saved += chance * float64(f.tokens)
	}
	return saved
}

// Prefers reports whether an engine is one of those that all nodes prefer for the longest beginning that others may share, or has
// the whole prompt from this node.
func (m *Match) Prefers(on *Engine) bool {
	last := len(m.found) - 1
	if m.whole {
		if m.found[last].keptChance(on) > 0 {
			return true
		}
		last--
	}
	return last >= 0 && m.found[last].prefers(on)
}

// sharedChance returns the chance that requests of all nodes keep a beginning on an engine. Until a part is evicted, the engine gets
// as many requests as fill its free memory. By the demand that this node sees, a share of them has the beginning, more on a
// preferred engine than on the others.
func (m *Match) sharedChance(f *matched, on *Engine) float64 {
	if f.demand == 0 || on.Free <= 0 {
		return 0
	}
	concentration := 1 - followedShare
	if f.prefers(on) {
		concentration += followedShare / PreferredShare
	}
	return 1 - math.Exp(-on.Free/math.Max(1, m.index.meanTokens())*f.demand*concentration)
}

// prefers reports whether an engine is a preferred one. The threshold needs no list of engines that the nodes would have to agree on.
func (f *matched) prefers(on *Engine) bool {
	return float64(rendezvous.Score(f.key, on.ID)) < PreferredShare*math.MaxUint64
}
