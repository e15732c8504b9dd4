package placement

// Preparer is a Scorer that looks at a request once before it rates candidates for it.
type Preparer interface {
	Prepare(r *Request)
}
