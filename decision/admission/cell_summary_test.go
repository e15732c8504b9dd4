package admission

import (
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
)

// Guards against summaries that show the cell before the decisions of the same call, or that count capacity as free
// that the cell would not grant.
func TestRepliesSummariseTheCellAfterTheDecisions(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.enqueue(3)
	decisions := f.cell.Dispatch(f.now, confirmedOwner)
	assert.Equal(t, len(decisions), 3)
	for _, d := range decisions {
		assert.Equal(t, d.Reply.Summary, message.CellSummary{Free: 1, Load: 0.75})
	}
	f.enqueue(3)
	decisions = f.cell.Dispatch(f.now, confirmedOwner)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Reply.Summary, message.CellSummary{Queued: 2, Load: 1})
	f.cell.params.MaxQueue = 2
	f.cell.SetParams(f.cell.params)
	refused := f.cell.Enqueue(f.now, WaitingRequest{Ticket: 99})
	assert.Equal(t, refused.Reply.Summary, message.CellSummary{Queued: 2, Load: 1})
}
