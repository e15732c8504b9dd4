package routing

// Candidate is a cell that may be asked.
type Candidate struct {
	Cell     string
	Distance Distance
	// Suspect is set while the cell's owner does not answer probes. It is asked only if nothing else is left.
	Suspect bool
}

// suspectPenalty exceeds the pressure and the distance of any other cell.
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
