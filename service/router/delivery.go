package router

import "azuredyke.dev/azuredyke/common/message"

// delivery is an entry of a sender's queue: a report on a grant, the cancellation of a placement request, or a flush
// request.
type delivery struct {
	cell   string
	fence  uint64
	report *message.GrantReport
	// cancel is the token of the placement request when report is nil.
	cancel uint64
	// flushed is set for a flush request only. The sender closes it once no delivery is queued.
	flushed chan<- struct{}
}

// isProgress reports whether the delivery is a progress report, which may be dropped.
func (d delivery) isProgress() bool {
	return d.report != nil && d.report.Event == message.GrantProgress
}

// grantKey identifies a grant.
type grantKey struct {
	cell   string
	fence  uint64
	number uint64
}

func (d delivery) key() grantKey {
	return grantKey{cell: d.cell, fence: d.fence, number: d.report.Number}
}
