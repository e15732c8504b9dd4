package placement

// Policy composes filters, scorers and a picker. It belongs to one task: it reuses its memory between decisions.
type Policy struct {
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker

	scored []Scored
}

// Choose returns the position of the candidate that is to run the request; its second result is false when no candidate
// may. It allocates nothing once it has seen as many candidates.
func (p *Policy) Choose(r *Request, candidates []*Candidate) (int, bool) {
	p.scored = p.scored[:0]
	for i, c := range candidates {
		if p.permits(r, c) {
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

func (p *Policy) permits(r *Request, c *Candidate) bool {
	for _, f := range p.Filters {
		if !f.Permits(r, c) {
			return false
		}
	}
	return true
}
