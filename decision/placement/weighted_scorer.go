package placement

// WeightedScorer is a Scorer with its weight in the total score.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}
