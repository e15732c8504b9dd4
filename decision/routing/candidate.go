package routing

// Candidate is a cell that may be asked.
type Candidate struct {
	Cell     string
	Distance Distance
}
