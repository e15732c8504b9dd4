package placement

// Scored is a candidate that passed the filters.
type Scored struct {
	// Index is the position among all candidates.
	Index int
	Score float64
}
