package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
)

// maxStatements bounds the incarnations whose statements are kept.
const maxStatements = 4096

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
