package placement

// WeightedScorer is a Scorer with its share of the total score.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}
