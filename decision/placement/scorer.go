package placement

// Scorer rates a candidate for a request from 0 to 1; higher is better. Score must not modify its arguments and must not
// allocate.
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}
