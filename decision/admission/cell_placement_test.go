package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/placement"
)

// newModelFixture returns a fixture whose cell has two cold endpoints with a limit of 64 and the given memory in
// tokens.
func newModelFixture(t *testing.T, policy string, memory int64) *fixture {
	t.Helper()
	f := newFixture(t)
	f.cell = NewCell("notes/kolkata/0", testFence, f.now, Params{
		StartWithin: time.Second, ColdLimit: 64, MaxConcurrency: 64, MaxQueue: 1000, Policy: policy,
	})
	f.cell.SetEndpoints(f.now, []message.Endpoint{{ID: "e1"}, {ID: "e2"}}, nil)
	for _, id := range []string{"e1", "e2"} {
		f.cell.ApplyLoad(f.now, f.now, message.LoadReport{
			Endpoint: id, Incarnation: "a", BlocksTotal: memory / 16, BlockTokens: 16, Models: []string{"m"},
		})
	}
	return f
}

// enqueueModelRequest enqueues a model request and returns its ticket.
func (f *fixture) enqueueModelRequest(r message.PlaceRequest) uint64 {
	f.t.Helper()
	f.ticket++
	r.Model = "m"
	if r.Workspace == "" {
		r.Workspace = "w"
	}
	assert.Assert(f.t, f.cell.Enqueue(f.now, WaitingRequest{
		Ticket: f.ticket, Request: r, Deadline: f.now.Add(time.Hour),
	}) == nil)
	return f.ticket
}

// Guards against requests that are admitted although their memory will not fit, so that the engine preempts them.
func TestRequestsWaitUntilTheirMemoryFits(t *testing.T) {
	f := newModelFixture(t, placement.Azuredyke, 16_000)
	for range 40 {
		f.enqueueModelRequest(message.PlaceRequest{PromptTokens: 1000, MaxTokens: 1000})
	}
	first := f.dispatchPrefilled(confirmedOwner)
	assert.Assert(t, len(first) >= 10 && len(first) <= 32, "%d of 40 fit into 32,000 tokens", len(first))
	f.reportEvent(first[0].Number, message.GrantCompleted, 100)
	assert.Equal(t, len(f.dispatchPrefilled(confirmedOwner)), 1, "the memory of completed work is free at once")

	baseline := newModelFixture(t, placement.LeastOutstanding, 16_000)
	for range 40 {
		baseline.enqueueModelRequest(message.PlaceRequest{PromptTokens: 1000, MaxTokens: 1000})
	}
	assert.Equal(t, len(baseline.dispatch(confirmedOwner)), 40, "the baseline ignores memory")
}

// Guards against requests that are admitted into memory that other work uses.
func TestMemoryOfOtherWorkIsNotAdmittedAgain(t *testing.T) {
	f := newModelFixture(t, placement.Azuredyke, 16_000)
	f.advance(time.Second)
	for _, id := range []string{"e1", "e2"} {
		f.cell.ApplyLoad(f.now, f.now, message.LoadReport{
			Endpoint: id, Incarnation: "a", Running: 1, BlocksTotal: 1000, BlocksUsed: 990, BlockTokens: 16,
		})
	}
	f.enqueueModelRequest(message.PlaceRequest{PromptTokens: 1000})
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 0)
}

// Guards against small requests that wait behind a large one, and against a large request that never starts because
// small ones use all room that becomes free.
func TestLargeRequestGetsAnEndpointReserved(t *testing.T) {
	f := newModelFixture(t, placement.Azuredyke, 16_000)
	var open []message.Grant
	large := uint64(0)
	for round := range 300 {
		for f.cell.queue.Len() < 20 {
			f.enqueueModelRequest(message.PlaceRequest{PromptTokens: 1000, MaxTokens: 100, Workspace: "small"})
		}
		if round == 10 {
			large = f.enqueueModelRequest(message.PlaceRequest{PromptTokens: 14_000, MaxTokens: 100, Workspace: "large"})
		}
		for decisions := f.cell.Dispatch(f.now, confirmedOwner); len(decisions) > 0; decisions = f.cell.Dispatch(f.now, confirmedOwner) {
			for _, d := range decisions {
				if d.Ticket == large {
					assert.Assert(t, round > 12, "the endpoints were busy")
					return
				}
				open = append(open, *d.Reply.Grant)
				f.reportEvent(d.Reply.Grant.Number, message.GrantProgress, 1)
			}
		}
		assert.Assert(t, len(open) > 0, "small requests start")
		f.advance(100 * time.Millisecond)
		f.reportEvent(open[0].Number, message.GrantCompleted, 90)
		open = open[1:]
	}
	t.Fatal("the large request never started")
}

// Guards against a short prompt that waits because a longer one of the same workspace does not fit.
func TestShorterPromptStartsWhenALongerOneCannot(t *testing.T) {
	f := newModelFixture(t, placement.Azuredyke, 16_000)
	f.enqueueModelRequest(message.PlaceRequest{PromptTokens: 1000})
	f.enqueueModelRequest(message.PlaceRequest{PromptTokens: 1000})
	assert.Equal(t, len(f.dispatchPrefilled(confirmedOwner)), 2)
	f.enqueueModelRequest(message.PlaceRequest{PromptTokens: 15_000})
	f.enqueueModelRequest(message.PlaceRequest{PromptTokens: 15_500})
	f.enqueueModelRequest(message.PlaceRequest{PromptTokens: 500})
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 1)
}

// Guards against a reservation that outlasts its request.
func TestReservationEndsWithItsRequest(t *testing.T) {
	f := newModelFixture(t, placement.Azuredyke, 16_000)
	f.enqueueModelRequest(message.PlaceRequest{PromptTokens: 1000})
	f.enqueueModelRequest(message.PlaceRequest{PromptTokens: 1000})
	assert.Equal(t, len(f.dispatchPrefilled(confirmedOwner)), 2)
	large := f.enqueueModelRequest(message.PlaceRequest{PromptTokens: 15_000})
	f.dispatch(confirmedOwner)
	f.advance(maxReservationDelay)
	f.dispatch(confirmedOwner)
	assert.Assert(t, f.cell.placer.reservation.endpoint != nil)
	f.cell.Cancel(large)
	f.enqueueModelRequest(message.PlaceRequest{PromptTokens: 1000})
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 1)
	assert.Assert(t, f.cell.placer.reservation.endpoint == nil)
}

// Guards against length tables that do not follow the reported lengths of answers.
func TestLengthTablesFollowReports(t *testing.T) {
	f := newModelFixture(t, placement.Azuredyke, 1_000_000)
	before := f.cell.cost(message.PlaceRequest{Model: "m", Workspace: "drafts"})
	for range 100 {
		f.enqueueModelRequest(message.PlaceRequest{Workspace: "drafts"})
		for _, g := range f.dispatch(confirmedOwner) {
			f.reportEvent(g.Number, message.GrantProgress, 500)
			f.reportEvent(g.Number, message.GrantCompleted, 6000)
		}
	}
	after := f.cell.cost(message.PlaceRequest{Model: "m", Workspace: "drafts"})
	assert.Assert(t, after > 4000 && after > 2*before, "%f, %f", before, after)
	for range 400 {
		f.enqueueModelRequest(message.PlaceRequest{Workspace: "triage"})
		for _, g := range f.dispatch(confirmedOwner) {
			f.reportEvent(g.Number, message.GrantCompleted, 20)
		}
	}
	short := f.cell.cost(message.PlaceRequest{Model: "m", Workspace: "triage"})
	assert.Assert(t, short < 100, "%f", short)
	bounded := f.cell.cost(message.PlaceRequest{Model: "m", Workspace: "drafts", MaxTokens: 10})
	assert.Equal(t, bounded, 10.0)
}

// Guards against a prompt that is sent to an endpoint without its prefix in the cache while another one has it, and
// against affinity to the cache of a process that has restarted.
func TestSamePrefixGoesToTheSameEndpoint(t *testing.T) {
	f := newModelFixture(t, placement.Azuredyke, 1_000_000)
	hashes := []uint64{1, 2, 3, 4}
	f.enqueueModelRequest(message.PlaceRequest{PrefixHashes: hashes, PromptTokens: 64})
	first := f.dispatch(confirmedOwner)[0]
	f.reportEvent(first.Number, message.GrantCompleted, 10)
	for range 20 {
		f.enqueueModelRequest(message.PlaceRequest{PrefixHashes: hashes, PromptTokens: 64})
		again := f.dispatch(confirmedOwner)[0]
		assert.Equal(t, again.Endpoint.ID, first.Endpoint.ID)
		f.reportEvent(again.Number, message.GrantCompleted, 10)
	}
	f.advance(time.Second)
	f.cell.ApplyLoad(f.now, f.now, message.LoadReport{Endpoint: first.Endpoint.ID, Incarnation: "b"})
	index := placement.PrefixAffinityScorer{Index: f.cell.prefixes}
	r := &placement.Request{PrefixHashes: hashes}
	index.Prepare(r)
	for _, e := range f.cell.endpoints {
		assert.Equal(t, index.Score(r, &e.candidate), 0.0)
	}
}

// Guards against a cell that uses another policy than the one in its parameters.
func TestPolicyFollowsParams(t *testing.T) {
	f := newModelFixture(t, placement.RoundRobin, 1_000_000)
	var order []string
	for range 4 {
		f.enqueueModelRequest(message.PlaceRequest{})
		g := f.dispatch(confirmedOwner)[0]
		order = append(order, g.Endpoint.ID)
		f.reportEvent(g.Number, message.GrantCompleted, 1)
	}
	assert.DeepEqual(t, order, []string{"e1", "e2", "e1", "e2"})
}

// Guards against a request that may crash its endpoint and runs beside others.
func TestAloneRequestRunsAlone(t *testing.T) {
	f := newModelFixture(t, placement.Azuredyke, 1_000_000)
	f.enqueueModelRequest(message.PlaceRequest{Alone: true})
	f.enqueueModelRequest(message.PlaceRequest{})
	f.enqueueModelRequest(message.PlaceRequest{})
	grants := f.dispatch(confirmedOwner)
	assert.Equal(t, len(grants), 3)
	on := map[string]int{}
	for _, g := range grants {
		on[g.Endpoint.ID]++
	}
	assert.Equal(t, on[grants[0].Endpoint.ID], 1)
	f.enqueueModelRequest(message.PlaceRequest{Alone: true})
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 0)
	f.reportEvent(grants[0].Number, message.GrantCompleted, 1)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 1)
}

// Guards against a queue scan for each progress report.
func TestProgressMakesNoScanDue(t *testing.T) {
	f := newModelFixture(t, placement.Azuredyke, 16_000)
	for range 40 {
		f.enqueueModelRequest(message.PlaceRequest{PromptTokens: 1000, MaxTokens: 1000})
	}
	g := f.dispatchPrefilled(confirmedOwner)[0]
	f.reportEvent(g.Number, message.GrantProgress, 5)
	assert.Assert(t, !f.cell.scanPending)
	assert.Assert(t, !f.cell.scanIsDue(f.now, confirmedOwner))
	assert.Assert(t, f.cell.scanIsDue(f.now.Add(maxScanInterval), confirmedOwner))
	f.reportEvent(g.Number, message.GrantCompleted, 5)
	assert.Assert(t, f.cell.scanIsDue(f.now, confirmedOwner))
}

// Guards against several prompts that are prefilled at the same time on one endpoint, which delays the tokens of every
// answer there.
func TestPromptsAreSpreadOverTime(t *testing.T) {
	f := newModelFixture(t, placement.Azuredyke, 16_000)
	for range 6 {
		f.enqueueModelRequest(message.PlaceRequest{PromptTokens: 300})
	}
	first := f.dispatch(confirmedOwner)
	assert.Equal(t, len(first), 2, "one prompt on each of two endpoints")
	f.reportEvent(first[0].Number, message.GrantProgress, 1)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 1)
	f.reportEvent(first[1].Number, message.GrantCompleted, 1)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 1)
}
