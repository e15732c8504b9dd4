package placement

// Filter decides whether a candidate may run a request. Permits must not modify its arguments and must not allocate.
type Filter interface {
	Permits(r *Request, c *Candidate) bool
}
