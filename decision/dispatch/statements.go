package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
)

// maxStatements bounds the incarnations whose statements are kept.
const maxStatements = 4096

// statements holds the statements of endpoints, also of those that no snapshot lists at present.
type statements map[incarnation]*statement

// of returns what an endpoint has said; an empty statement if it has said nothing yet.
func (s statements) of(e *catalog.Endpoint) *statement {
	if known := s[incarnationOf(e)]; known != nil {
		return known
	}
	return &statement{}
}

// keep keeps the statement of an endpoint for the time in which no snapshot lists the endpoint.
func (s statements) keep(now time.Time, e *catalog.Endpoint, said *statement) {
	key := incarnationOf(e)
	if s[key] == nil && len(s) >= maxStatements {
		s.dropOldest()
	}
	said.heardAt = now
	s[key] = said
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
