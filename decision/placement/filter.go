package placement

// Filter decides whether a candidate may run a request. It must not modify either and must not allocate.
type Filter interface {
	Permits(r *Request, c *Candidate) bool
}
