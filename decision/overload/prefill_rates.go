package overload

// PrefillRates holds the rates by the priority of the requests. Engines compute the prompts of more urgent requests first, so that those
// of less urgent ones advance more slowly.
type PrefillRates map[int]*PrefillRate

// Of returns the rate for a priority.
func (p PrefillRates) Of(priority int) *PrefillRate {
	rate := p[priority]
	if rate == nil {
		initial := NewPrefillRate()
		rate = &initial
		p[priority] = rate
	}
	return rate
}

// Clone returns a copy that learns on its own.
func (p PrefillRates) Clone() PrefillRates {
	c := make(PrefillRates, len(p))
	for priority, rate := range p {
		copied := *rate
		c[priority] = &copied
	}
	return c
}
