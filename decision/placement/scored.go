package placement

// Scored is a candidate that the filters permit, with its score.
type Scored struct {
	// Index is the position of the candidate in the list of all candidates.
	Index int
	Score float64
}
