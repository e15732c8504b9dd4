package placement

// Scorer rates a candidate for a request from 0 to 1; higher is better. It must not modify either and must not allocate.
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}
