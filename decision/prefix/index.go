package prefix

import (
	"container/list"
	"math"
)

const (
	// maxEntries bounds the beginnings that a node remembers of a service: 34 requests/s with 4 parts each for 30 s.
	maxEntries = 4096
	// useDecay is the weight of the uses before a request relative to it; the demand is that of the last 128 requests or so.
	useDecay = 1 - 1.0/128
	// assumedBeginnings is the number of shared beginnings that are assumed to be equally frequent before this node has seen
	// requests. It decides the guess of a node that sees a few requests a minute, and weighs little after a hundred.
	assumedBeginnings = 32
)

// Index holds the beginnings of the prompts that this node has placed on the engines of one service.
type Index struct {
	byHash map[uint64]*list.Element
	// recent holds the keyed entries, most recently used first.
	recent *list.List
	// requests is the number of requests, and tokens the decayed sum of their memory.
	requests uint64
	tokens   float64
}

// keyedEntry is an entry with its key.
type keyedEntry struct {
	hash uint64
	entry
}

// NewIndex returns an index without entries.
func NewIndex() *Index { return &Index{byHash: map[uint64]*list.Element{}, recent: list.New()} }

// Len returns the number of entries.
func (x *Index) Len() int { return x.recent.Len() }

// Record records that a request that takes some tokens of memory was placed on an engine.
func (x *Index) Record(c Chain, tokens int, on *Engine) {
	x.requests++
	x.tokens = x.tokens*useDecay + float64(tokens)
	for _, b := range c {
		known := x.byHash[b.Hash]
		if known == nil {
			if x.Len() >= maxEntries {
				x.remove(x.recent.Back())
			}
			known = x.recent.PushFront(&keyedEntry{hash: b.Hash})
			x.byHash[b.Hash] = known
		}
		x.recent.MoveToFront(known)
		e := known.Value.(*keyedEntry)
		e.uses, e.lastUse = x.decayedUses(&e.entry)+1, x.requests
		e.record(place{engine: on.Number, given: on.Given})
	}
}

// Retain forgets the incarnations that have ended. The uses of a beginning remain.
func (x *Index) Retain(alive func(engine uint64) bool) {
	for known := x.recent.Front(); known != nil; known = known.Next() {
		known.Value.(*keyedEntry).retain(alive)
	}
}

func (x *Index) remove(known *list.Element) {
	delete(x.byHash, x.recent.Remove(known).(*keyedEntry).hash)
}

func (x *Index) decayedUses(e *entry) float64 {
	return e.uses * math.Pow(useDecay, float64(x.requests-e.lastUse))
}

// totalUses is the decayed number of all requests.
func (x *Index) totalUses() float64 {
	return (1 - math.Pow(useDecay, float64(x.requests))) / (1 - useDecay)
}

// demand returns the expected share of the requests that have a beginning, whose entry may be nil.
func (x *Index) demand(e *entry) float64 {
	uses := 1.0
	if e != nil {
		uses += x.decayedUses(e)
	}
	return uses / (x.totalUses() + assumedBeginnings)
}

// meanTokens returns the mean memory of a request.
func (x *Index) meanTokens() float64 { return x.tokens / math.Max(1, x.totalUses()) }
