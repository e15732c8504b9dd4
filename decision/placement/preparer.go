package placement

// Preparer is implemented by a Scorer that processes a request once before it rates the candidates.
type Preparer interface {
	Prepare(r *Request)
}
