package routing

// Candidate is a cell to which a placement request can be sent.
type Candidate struct {
	Cell     string
	Distance Distance
	// Suspect is set while the cell's owner does not answer probes. Such a cell is chosen only if there is no other
	// candidate.
	Suspect bool
}

// suspectPenalty exceeds the sum of the highest pressure and the highest distance penalty.
const suspectPenalty = 4

func (c Candidate) weight() float64 {
	if c.Suspect {
		return c.Distance.weight() / 100
	}
	return c.Distance.weight()
}

func (c Candidate) penalty() float64 {
	if c.Suspect {
		return c.Distance.penalty() + suspectPenalty
	}
	return c.Distance.penalty()
}
