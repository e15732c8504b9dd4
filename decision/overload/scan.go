package overload

// Scan is one pass over the waiting requests in order of urgency. It holds those that did not fit so far.
type Scan struct {
	// blocked holds the requests for which no endpoint of the service had room, by service.
	blocked map[string][]Shape
	// demand is that of all requests that did not fit, by service and priority.
	demand map[string]map[int]*Demand
}

// NewScan returns a scan at its start.
func NewScan() *Scan {
	return &Scan{blocked: map[string][]Shape{}, demand: map[string]map[int]*Demand{}}
}

// Block records a request that has to wait. everywhere is set if no endpoint of the service has room for it.
func (s *Scan) Block(shape Shape, everywhere bool) {
	if everywhere && !s.IsHopeless(shape) {
		s.blocked[shape.Service] = append(s.blocked[shape.Service], shape)
	}
	if shape.Tokens == 0 {
		return
	}
	levels := s.demand[shape.Service]
	if levels == nil {
		levels = map[int]*Demand{}
		s.demand[shape.Service] = levels
	}
	if levels[shape.Level] == nil {
		levels[shape.Level] = &Demand{}
	}
	levels[shape.Level].Add(shape.Tokens, shape.PromptTokens)
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

// MoreUrgent returns the demand of the waiting requests that are more urgent.
func (s *Scan) MoreUrgent(shape Shape) Demand {
	var sum Demand
	for level, d := range s.demand[shape.Service] {
		if level < shape.Level {
			sum.Merge(*d)
		}
	}
	return sum
}
