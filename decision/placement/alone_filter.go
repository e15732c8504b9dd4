package placement

// AloneFilter keeps a request that must run alone on an idle endpoint, and others off the endpoint that runs it.
type AloneFilter struct{}

// Permits implements Filter.
func (AloneFilter) Permits(r *Request, c *Candidate) bool {
	return !c.Alone && (!r.Alone || c.InFlight == 0)
}
