package overload

// MoreUrgent is the demand of waiting requests that are more urgent than another one. Long is that of runs that hold their memory for
// long and can't use the reserve for migrations.
type MoreUrgent struct {
	Long, Short Demand
}

// Add adds the demand of a class of requests.
func (m *MoreUrgent) Add(c WaitingClass) {
	if c.Long {
		m.Long.Merge(c.Demand)
		return
	}
	m.Short.Merge(c.Demand)
}

// Requests returns the number of requests.
func (m MoreUrgent) Requests() int { return m.Long.Requests + m.Short.Requests }

// HeadroomPrompt returns the prompt tokens to leave uncomputed on each of a number of engines.
func (m MoreUrgent) HeadroomPrompt(engines int) int {
	return max(m.Long.HeadroomPrompt(engines), m.Short.HeadroomPrompt(engines))
}

// HeadroomTokens returns the memory to leave free on an engine with the given memory in use and in total, by a request that holds its
// memory for long or not. A short run may use the reserve of an engine that has no room for a long one.
func (m MoreUrgent) HeadroomTokens(engines int, long bool, used, capacity, reserve float64) float64 {
	headroom := float64(m.Short.HeadroomTokens(engines))
	if m.Long.Requests == 0 {
		return headroom
	}
	forLong := float64(m.Long.HeadroomTokens(engines))
	if long {
		return max(headroom, forLong)
	}
	if used+float64(m.Long.LargestTokens) > capacity*(1-reserve) {
		return headroom
	}
	return max(headroom, forLong+capacity*reserve)
}
