package overload

// Scan is one pass over the waiting requests in order of urgency. It holds those that did not fit so far.
type Scan struct {
	// blocked holds the requests for which no endpoint of the service had room, by service.
	blocked map[string][]Shape
	// demand is that of all requests that did not fit.
	demand Pressure
}

// NewScan returns a scan at its start.
func NewScan() *Scan { return &Scan{blocked: map[string][]Shape{}} }

// Block records a request that has to wait. everywhere is set if no endpoint of the service has room for it.
func (s *Scan) Block(shape Shape, everywhere bool) {
	if everywhere && !s.IsHopeless(shape) {
		s.blocked[shape.Service] = append(s.blocked[shape.Service], shape)
	}
	if shape.Tokens > 0 {
		s.demand.AddWaiting(shape)
	}
}

// IsHopeless reports whether a request that needs no more than this one has already found no room.
func (s *Scan) IsHopeless(shape Shape) bool {
	for i := range s.blocked[shape.Service] {
		if s.blocked[shape.Service][i].NeedsNoMoreThan(&shape) {
			return true
		}
	}
	return false
}

// MoreUrgent returns the demand of the waiting requests that are more urgent, those of the other nodes included.
func (s *Scan) MoreUrgent(shape Shape, others Pressure) MoreUrgent {
	var m MoreUrgent
	s.demand.MoreUrgent(&m, shape.Service, shape.Rank)
	others.MoreUrgent(&m, shape.Service, shape.Rank)
	return m
}
