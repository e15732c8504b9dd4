package placement

// ExpectedMemoryFilter permits the endpoints whose memory holds the expected memory of the request and of the running
// requests, now and at each horizon. An idle endpoint is always permitted, because waiting would not free more memory.
type ExpectedMemoryFilter struct{}

// Permits implements Filter.
func (ExpectedMemoryFilter) Permits(r *Request, c *Candidate) bool {
	if c.Capacity == 0 || c.InFlight == 0 {
		return true
	}
	return c.UntrackedMemory+c.Memory.PeakWith(&r.Memory) <= c.Capacity
}
