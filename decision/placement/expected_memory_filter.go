package placement

// ExpectedMemoryFilter permits the endpoints on which the request's expected memory fits beside that of the running
// requests, now and at each horizon. An idle endpoint always takes one request, since waiting cannot make more room.
type ExpectedMemoryFilter struct{}

// Permits implements Filter.
func (ExpectedMemoryFilter) Permits(r *Request, c *Candidate) bool {
	if c.Capacity == 0 || c.InFlight == 0 {
		return true
	}
	return c.Other+c.Memory.PeakWith(&r.Memory) <= c.Capacity
}
