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

// keep stores the statement of an endpoint for the time in which no snapshot lists the endpoint.
func (s statements) keep(now time.Time, e *catalog.Endpoint, update *statement) {
	key := incarnationOf(e)
	if s[key] == nil && len(s) >= maxStatements {
		s.dropOldest()
	}
	update.updatedAt = now
	s[key] = update
}

func (s statements) dropOldest() {
	var oldest incarnation
	var at time.Time
	for key, known := range s {
		if at.IsZero() || known.updatedAt.Before(at) {
			oldest, at = key, known.updatedAt
		}
	}
	delete(s, oldest)
}
