package placement

// PrefixAffinityScorer prefers the endpoint that was previously sent the longest prefix of the request's prompt.
type PrefixAffinityScorer struct {
	Index *PrefixIndex

	matched [maxSlots]int
}

// Prepare implements Preparer.
func (s *PrefixAffinityScorer) Prepare(r *Request) {
	if len(r.PrefixHashes) > 0 {
		s.Index.Match(r.PrefixHashes, &s.matched)
	}
}

// Score implements Scorer. The score is the fraction of the prompt's blocks that matched.
func (s *PrefixAffinityScorer) Score(r *Request, c *Candidate) float64 {
	if len(r.PrefixHashes) == 0 || c.Slot >= maxSlots {
		return 0
	}
	return float64(s.matched[c.Slot]) / float64(len(r.PrefixHashes))
}
