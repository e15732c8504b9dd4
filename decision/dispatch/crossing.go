package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/decision/placement"
)

// minPartSampleSize is the least size of each of the two samples, of engines here and elsewhere.
const minPartSampleSize = 3

// pickByTime chooses among the eligible engines in the data centre of this node, unless one elsewhere is expected to be faster by more
// than the cost of crossing, or none here permits the request. It compares the best of two random samples. It returns nil if no
// engine permits the request.
func (t *Table) pickByTime(now time.Time, r *Request, query *placement.Request, p *placement.Policy) *endpoint {
	near := t.partitionEligible()
	here := t.pickFrom(now, query, p, 0, near, t.partSampleSize(near))
	elsewhere := t.pickFrom(now, query, p, near, len(t.candidates), t.partSampleSize(len(t.candidates)-near))
	switch {
	case here == nil:
		return elsewhere
	case elsewhere == nil:
		return here
	case placement.ExpectedTime(query, &here.candidate)-placement.ExpectedTime(query, &elsewhere.candidate) > placement.CrossingCost(query):
		return elsewhere
	}
	return here
}

// pickNearFirst chooses among the eligible endpoints for a copy: among those that are near if one of them permits it.
func (t *Table) pickNearFirst(now time.Time, r *Request, query *placement.Request, p *placement.Policy) *endpoint {
	near := t.partitionEligible()
	if e := t.pickFrom(now, query, p, 0, near, t.sampleSize(r, near)); e != nil {
		return e
	}
	return t.pickFrom(now, query, p, near, len(t.candidates), t.sampleSize(r, len(t.candidates)-near))
}

// partSampleSize returns the size of one of two samples. It is smaller than that of a single one, so that both together draw hardly more
// nodes to the same endpoint.
func (t *Table) partSampleSize(eligible int) int {
	return min(eligible, max(minPartSampleSize, eligible*nodesWithoutSampling/max(nodesWithoutSampling, t.nodes)))
}

// pickFrom chooses among a part of the eligible endpoints, first from a random sample, because many nodes decide at the same time.
func (t *Table) pickFrom(now time.Time, query *placement.Request, p *placement.Policy, from, to, sample int) *endpoint {
	t.includePreferred(from, sample, to)
	for _, end := range []int{from + sample, to} {
		t.setCandidateSpeeds(now, t.eligible[from:end])
		if i, ok := p.Choose(query, t.candidates[from:end]); ok {
			return t.eligible[from+i]
		}
	}
	return nil
}

// partitionEligible moves the eligible endpoints that are near to the front and returns their number. The order is random otherwise.
func (t *Table) partitionEligible() int {
	near := 0
	for i, c := range t.candidates {
		if c.Nearby {
			t.swapEligible(i, near)
			near++
		}
	}
	return near
}

func (t *Table) shuffleEligible() { t.random.Shuffle(len(t.eligible), t.swapEligible) }

func (t *Table) swapEligible(i, j int) {
	t.eligible[i], t.eligible[j] = t.eligible[j], t.eligible[i]
	t.candidates[i], t.candidates[j] = t.candidates[j], t.candidates[i]
}
