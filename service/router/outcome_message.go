package router

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// outcomeMessage carries the result of a placement request to one cell.
type outcomeMessage struct {
	cell    string
	failed  bool
	summary message.CellSummary
}

func (m outcomeMessage) apply(r *Router) {
	if m.failed {
		r.loads.RecordFailure(time.Now(), m.cell)
		return
	}
	r.loads.RecordSummary(time.Now(), m.cell, m.summary)
}
