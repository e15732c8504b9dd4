package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
)

const (
	// maxPause bounds the time for which an endpoint gets no requests because it asked for that.
	maxPause = 10 * time.Minute
	// maxStatements bounds the incarnations whose statements are kept.
	maxStatements = 4096
)

// incarnation identifies one incarnation of an endpoint.
type incarnation struct {
	id, address, service string
	born                 int64
}

// statement is what one incarnation of an endpoint has said about itself. Nothing that is read elsewhere takes it back.
type statement struct {
	leaving     bool
	pausedUntil time.Time
	heardAt     time.Time
}

// statements holds the statements of endpoints, also of those that no snapshot lists at present.
type statements map[incarnation]*statement

// of returns the statement of an endpoint, which changes when the endpoint says something new.
func (s statements) of(now time.Time, e *catalog.Endpoint) *statement {
	key := incarnation{id: e.ID, address: e.Address, service: e.Service, born: e.Born}
	if known := s[key]; known != nil {
		return known
	}
	if len(s) >= maxStatements {
		s.dropOldest()
	}
	said := &statement{heardAt: now}
	s[key] = said
	return said
}

func (s statements) dropOldest() {
	var oldest incarnation
	var at time.Time
	for key, said := range s {
		if at.IsZero() || said.heardAt.Before(at) {
			oldest, at = key, said.heardAt
		}
	}
	delete(s, oldest)
}

// pause extends the time for which the endpoint gets no requests. A shorter pause does not end an earlier one, because answers on
// different connections overtake each other.
func (s *statement) pause(now time.Time, d time.Duration) {
	if until := now.Add(min(d, maxPause)); d > 0 && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}
