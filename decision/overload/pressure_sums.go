package overload

import "time"

// pressureExpiry is the time after which a notice no longer counts. Notices are repeated while something waits.
const pressureExpiry = time.Second

// PressureSums adds up the pressure that several sources have reported: nodes or data centres. It is not safe for concurrent use.
type PressureSums struct {
	sources map[string]*reportedPressure
}

type reportedPressure struct {
	pressure    Pressure
	at, usageAt time.Time
}

// NewPressureSums returns sums without sources.
func NewPressureSums() *PressureSums { return &PressureSums{sources: map[string]*reportedPressure{}} }

// Clone returns a copy that changes on its own.
func (s *PressureSums) Clone() *PressureSums {
	c := NewPressureSums()
	for source, r := range s.sources {
		copied := *r
		c.sources[source] = &copied
	}
	return c
}

// Record replaces the pressure of a source. Its usage stays if the report has none.
func (s *PressureSums) Record(now time.Time, source string, p Pressure) {
	r := s.sources[source]
	if r == nil {
		r = &reportedPressure{}
		s.sources[source] = r
	}
	if p.Usage != nil {
		r.usageAt = now
	} else {
		p.Usage = r.pressure.Usage
	}
	r.pressure, r.at = p, now
}

// Total returns the sum over all sources that are not silent.
func (s *PressureSums) Total(now time.Time) Pressure {
	var sum Pressure
	for source := range s.sources {
		sum = sum.Add(s.Of(now, source))
	}
	return sum
}

// Of returns the pressure of one source; it is zero if the source is silent.
func (s *PressureSums) Of(now time.Time, source string) Pressure {
	r := s.sources[source]
	if r == nil {
		return Pressure{}
	}
	if now.Sub(r.at) >= pressureExpiry {
		delete(s.sources, source)
		return Pressure{}
	}
	if now.Sub(r.usageAt) >= pressureExpiry {
		r.pressure.Usage = nil
	}
	return r.pressure
}
