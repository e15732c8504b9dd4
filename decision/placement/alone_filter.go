package placement

// AloneFilter permits only idle endpoints for a request that must run alone, and permits no other request on an endpoint that
// runs such a request.
type AloneFilter struct{}

// Permits implements Filter.
func (AloneFilter) Permits(r *Request, c *Candidate) bool {
	return !c.Alone && (!r.Alone || c.InFlight == 0)
}
