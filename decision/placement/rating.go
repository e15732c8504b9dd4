package placement

// Rating is the weighted score that one scorer gives a candidate.
type Rating struct {
	// Scorer is the name of the scorer's type without its suffix.
	Scorer string
	Score  float64
}
