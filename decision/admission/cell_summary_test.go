package admission

import (
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
)

// Guards against routers that are told of a state before the decisions of the same moment, or of free places that the
// cell would not fill.
func TestRepliesSummariseTheCellAfterTheDecisions(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.enqueue(3)
	decisions := b.cell.Dispatch(b.now, full)
	assert.Equal(t, len(decisions), 3)
	for _, d := range decisions {
		assert.Equal(t, d.Reply.Summary, message.CellSummary{Free: 1, Load: 0.75})
	}
	b.enqueue(3)
	decisions = b.cell.Dispatch(b.now, full)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Reply.Summary, message.CellSummary{Queued: 2, Load: 1})
	b.cell.params.MaxQueue = 2
	b.cell.SetParams(b.cell.params)
	refused := b.cell.Enqueue(b.now, Waiting{Ticket: 99})
	assert.Equal(t, refused.Reply.Summary, message.CellSummary{Queued: 2, Load: 1})
}
