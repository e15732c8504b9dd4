package placement

import (
	"reflect"
	"strings"
)

// Policy combines filters, scorers and a picker. It reuses its buffers between decisions, so it is not safe for concurrent use.
type Policy struct {
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker

	scored []Scored
}

// Choose returns the position of the candidate that is to run the request; the second result is false if the filters permit no
// candidate. It allocates only when the number of candidates exceeds that of all earlier calls.
func (p *Policy) Choose(r *Request, candidates []*Candidate) (int, bool) {
	p.scored = p.scored[:0]
	for i, c := range candidates {
		if p.Permits(r, c) {
			p.scored = append(p.scored, Scored{Index: i})
		}
	}
	if len(p.scored) == 0 {
		return 0, false
	}
	for _, w := range p.Scorers {
		if preparer, ok := w.Scorer.(Preparer); ok {
			preparer.Prepare(r)
		}
		for i := range p.scored {
			p.scored[i].Score += w.Weight * w.Scorer.Score(r, candidates[p.scored[i].Index])
		}
	}
	return p.scored[p.Picker.Pick(p.scored)].Index, true
}

// Ratings returns the weighted scores of a candidate by scorer. Their sum is the score that Choose compares.
func (p *Policy) Ratings(r *Request, c *Candidate) []Rating {
	ratings := make([]Rating, 0, len(p.Scorers))
	for _, w := range p.Scorers {
		if preparer, ok := w.Scorer.(Preparer); ok {
			preparer.Prepare(r)
		}
		name := reflect.Indirect(reflect.ValueOf(w.Scorer)).Type().Name()
		ratings = append(ratings, Rating{Scorer: strings.TrimSuffix(name, "Scorer"), Score: w.Weight * w.Scorer.Score(r, c)})
	}
	return ratings
}

// Permits reports whether all filters permit a candidate.
func (p *Policy) Permits(r *Request, c *Candidate) bool {
	for _, f := range p.Filters {
		if !f.Permits(r, c) {
			return false
		}
	}
	return true
}
