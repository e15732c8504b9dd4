package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/overload"
)

// newOrderedTable returns a table with ordered admission for a service whose most urgent class has an objective of 1,500 ms.
func newOrderedTable(ids ...string) (*Table, *fleet.Snapshot) {
	table, s := newTable(0, ids...)
	s.Configuration.Routes = []catalog.Route{{FirstByteObjective: 1500 * time.Millisecond, Shares: []catalog.Share{{Service: "s", Weight: 1}}}}
	p := params
	p.OrderedAdmission = true
	table.SetParams(p)
	table.SetSnapshot(start, s)
	return table, s
}

// Guards against an urgent prompt that is queued behind those of less urgent requests on every engine.
func TestLessUrgentPromptsLeaveTimeForUrgentOnes(t *testing.T) {
	table, _ := newOrderedTable("a")
	long := Request{Service: "s", PromptTokens: 1000, Tokens: 1400, Priority: 2}
	admitted := 0
	for table.endpoints["a"].own.Prefill < 10_000 {
		if _, refusal := table.Place(start, long); refusal != "" {
			assert.Equal(t, refusal, AllEndpointsFull)
			break
		}
		admitted++
	}
	assert.Equal(t, admitted, 3)
	urgent := Request{Service: "s", PromptTokens: 1000, Tokens: 1008, FirstEventBy: start.Add(1500 * time.Millisecond)}
	_, refusal := table.Place(start, urgent)
	assert.Equal(t, refusal, Refusal(""))
}

// Guards against engines that are full when the runs of leaving engines have to move to them.
func TestLongRunsLeaveReserveForMigrations(t *testing.T) {
	table, s := newOrderedTable("a", "b", "c", "d")
	s.Endpoints["s"][0].Leaving = true
	table.SetSnapshot(start, s)
	// All prompts are computed at once, so that only memory limits the requests.
	fill := func(r Request) (tokens int) {
		for range 100 {
			placed, refusal := table.Place(start, r)
			if refusal != "" {
				return tokens
			}
			table.RecordFirstEvent(placed.Run)
			tokens += r.Tokens
		}
		return tokens
	}
	assert.Equal(t, fill(Request{Service: "s", PromptTokens: 1400, Tokens: 1500}), 3*7500)
	assert.Equal(t, fill(Request{Service: "s", PromptTokens: 1000, Tokens: 1008}), 3*2*1008)
	moved := Request{Service: "s", PromptTokens: 100, Tokens: 400, Resumed: true, CopyPending: true, ForceRepeat: true}
	_, refusal := table.Place(start, moved)
	assert.Equal(t, refusal, Refusal(""))
}

// Guards against a less urgent request that takes the memory for which a larger, more urgent one waits, and against a request that
// ends its wait without being sent.
func TestLessUrgentRequestLeavesRoomForWaitingOnes(t *testing.T) {
	table, _ := newOrderedTable("a")
	_, refusal := table.Place(start, Request{Service: "s", PromptTokens: 10, Tokens: 6000})
	assert.Equal(t, refusal, Refusal(""))
	r := Request{Service: "s", PromptTokens: 10, Tokens: 2000, Priority: 2}
	r.MoreUrgent.Short.Add(5000, 100)
	_, refusal = table.Place(start, r)
	assert.Equal(t, refusal, AllEndpointsFull)
	r.MoreUrgent = overload.MoreUrgent{}
	_, refusal = table.Place(start, r)
	assert.Equal(t, refusal, Refusal(""))
	r.Tokens = 8000
	_, refusal = table.Place(start, r)
	assert.Equal(t, refusal, AllEndpointsFull)
	r.WithoutLimits = true
	_, refusal = table.Place(start, r)
	assert.Equal(t, refusal, Refusal(""))
}
