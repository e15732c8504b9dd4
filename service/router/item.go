package router

import "azuredyke.dev/azuredyke/common/message"

// item is what a sender delivers: a report of a grant, the cancellation of a placement request, or a request to say when all
// items before it were delivered.
type item struct {
	cell   string
	fence  uint64
	report *message.GrantReport
	// cancel is the token of the placement request when report is nil.
	cancel uint64
	// flushed is closed by the sender; such an item carries nothing else.
	flushed chan<- struct{}
}

// progress reports whether the item may be dropped.
func (i item) progress() bool { return i.report != nil && i.report.Event == message.GrantProgress }

// grantKey names a grant.
type grantKey struct {
	cell   string
	fence  uint64
	number uint64
}

func (i item) key() grantKey { return grantKey{cell: i.cell, fence: i.fence, number: i.report.Number} }
