package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/placement"
)

// modelBench has two warm endpoints with the given memory in tokens and a limit of 64.
func modelBench(t *testing.T, policy string, memory int64) *bench {
	t.Helper()
	b := newBench(t)
	b.cell = NewCell("notes/kolkata/0", testFence, b.now, Params{
		StartWithin: time.Second, ColdLimit: 64, MaxConcurrency: 64, MaxQueue: 1000, Policy: policy,
	})
	b.cell.SetEndpoints(b.now, []message.Endpoint{{ID: "e1"}, {ID: "e2"}}, nil)
	for _, id := range []string{"e1", "e2"} {
		b.cell.ApplyLoad(b.now, b.now, message.LoadReport{
			Endpoint: id, Incarnation: "a", BlocksTotal: memory / 16, BlockTokens: 16, Models: []string{"m"},
		})
	}
	return b
}

// ask enqueues a model request and returns its ticket.
func (b *bench) ask(r message.PlaceRequest) uint64 {
	b.t.Helper()
	b.ticket++
	r.Model = "m"
	if r.Workspace == "" {
		r.Workspace = "w"
	}
	assert.Assert(b.t, b.cell.Enqueue(b.now, Waiting{
		Ticket: b.ticket, Request: r, Deadline: b.now.Add(time.Hour),
	}) == nil)
	return b.ticket
}

// Guards against requests that are admitted although their memory will not fit, so that the engine preempts them.
func TestRequestsWaitUntilTheirMemoryFits(t *testing.T) {
	b := modelBench(t, placement.Azuredyke, 16_000)
	for range 40 {
		b.ask(message.PlaceRequest{PromptTokens: 1000, MaxTokens: 1000})
	}
	first := b.dispatchComputed(full)
	assert.Assert(t, len(first) >= 10 && len(first) <= 32, "%d of 40 fit into 32,000 tokens", len(first))
	b.event(first[0].Number, message.GrantCompleted, 100)
	assert.Equal(t, len(b.dispatchComputed(full)), 1, "the memory of completed work is free at once")

	baseline := modelBench(t, placement.LeastOutstanding, 16_000)
	for range 40 {
		baseline.ask(message.PlaceRequest{PromptTokens: 1000, MaxTokens: 1000})
	}
	assert.Equal(t, len(baseline.dispatch(full)), 40, "the baseline does not look at memory")
}

// Guards against memory that other work uses being promised to requests.
func TestMemoryOfOtherWorkIsTaken(t *testing.T) {
	b := modelBench(t, placement.Azuredyke, 16_000)
	b.advance(time.Second)
	for _, id := range []string{"e1", "e2"} {
		b.cell.ApplyLoad(b.now, b.now, message.LoadReport{
			Endpoint: id, Incarnation: "a", Running: 1, BlocksTotal: 1000, BlocksUsed: 990, BlockTokens: 16,
		})
	}
	b.ask(message.PlaceRequest{PromptTokens: 1000})
	assert.Equal(t, len(b.dispatch(full)), 0)
}

// Guards against small requests that wait behind a large one, and against the large one waiting for ever while small ones
// take all room that becomes free.
func TestLargeRequestGetsAnEndpointReserved(t *testing.T) {
	b := modelBench(t, placement.Azuredyke, 16_000)
	var open []message.Grant
	large := uint64(0)
	for round := range 300 {
		for b.cell.queue.Len() < 20 {
			b.ask(message.PlaceRequest{PromptTokens: 1000, MaxTokens: 100, Workspace: "small"})
		}
		if round == 10 {
			large = b.ask(message.PlaceRequest{PromptTokens: 14_000, MaxTokens: 100, Workspace: "large"})
		}
		for decisions := b.cell.Dispatch(b.now, full); len(decisions) > 0; decisions = b.cell.Dispatch(b.now, full) {
			for _, d := range decisions {
				if d.Ticket == large {
					assert.Assert(t, round > 12, "the endpoints were busy")
					return
				}
				open = append(open, *d.Reply.Grant)
				b.event(d.Reply.Grant.Number, message.GrantProgress, 1)
			}
		}
		assert.Assert(t, len(open) > 0, "small requests start")
		b.advance(100 * time.Millisecond)
		b.event(open[0].Number, message.GrantCompleted, 90)
		open = open[1:]
	}
	t.Fatal("the large request never started")
}

// Guards against a short prompt that waits because a longer one of the same workspace does not fit.
func TestShorterPromptStartsWhenALongerOneCannot(t *testing.T) {
	b := modelBench(t, placement.Azuredyke, 16_000)
	b.ask(message.PlaceRequest{PromptTokens: 1000})
	b.ask(message.PlaceRequest{PromptTokens: 1000})
	assert.Equal(t, len(b.dispatchComputed(full)), 2)
	b.ask(message.PlaceRequest{PromptTokens: 15_000})
	b.ask(message.PlaceRequest{PromptTokens: 15_500})
	b.ask(message.PlaceRequest{PromptTokens: 500})
	assert.Equal(t, len(b.dispatch(full)), 1)
}

// Guards against a reservation that keeps an endpoint for a request that has gone.
func TestReservationEndsWithItsRequest(t *testing.T) {
	b := modelBench(t, placement.Azuredyke, 16_000)
	b.ask(message.PlaceRequest{PromptTokens: 1000})
	b.ask(message.PlaceRequest{PromptTokens: 1000})
	assert.Equal(t, len(b.dispatchComputed(full)), 2)
	large := b.ask(message.PlaceRequest{PromptTokens: 15_000})
	b.dispatch(full)
	b.advance(reserveAfter)
	b.dispatch(full)
	assert.Assert(t, b.cell.placer.reservation.endpoint != nil)
	b.cell.Cancel(large)
	b.ask(message.PlaceRequest{PromptTokens: 1000})
	assert.Equal(t, len(b.dispatch(full)), 1)
	assert.Assert(t, b.cell.placer.reservation.endpoint == nil)
}

// Guards against lengths that are not learned from what runs and completes.
func TestLengthsAreLearnedFromReports(t *testing.T) {
	b := modelBench(t, placement.Azuredyke, 1_000_000)
	before := b.cell.cost(message.PlaceRequest{Model: "m", Workspace: "drafts"})
	for range 100 {
		b.ask(message.PlaceRequest{Workspace: "drafts"})
		for _, g := range b.dispatch(full) {
			b.event(g.Number, message.GrantProgress, 500)
			b.event(g.Number, message.GrantCompleted, 6000)
		}
	}
	after := b.cell.cost(message.PlaceRequest{Model: "m", Workspace: "drafts"})
	assert.Assert(t, after > 4000 && after > 2*before, "%f, %f", before, after)
	for range 400 {
		b.ask(message.PlaceRequest{Workspace: "triage"})
		for _, g := range b.dispatch(full) {
			b.event(g.Number, message.GrantCompleted, 20)
		}
	}
	short := b.cell.cost(message.PlaceRequest{Model: "m", Workspace: "triage"})
	assert.Assert(t, short < 100, "%f", short)
	bounded := b.cell.cost(message.PlaceRequest{Model: "m", Workspace: "drafts", MaxTokens: 10})
	assert.Equal(t, bounded, 10.0)
}

// Guards against a prompt that is sent to an endpoint without its leading part while another has it, and against
// affinity to the cache of a process that restarted.
func TestSamePrefixGoesToTheSameEndpoint(t *testing.T) {
	b := modelBench(t, placement.Azuredyke, 1_000_000)
	hashes := []uint64{1, 2, 3, 4}
	b.ask(message.PlaceRequest{PrefixHashes: hashes, PromptTokens: 64})
	first := b.dispatch(full)[0]
	b.event(first.Number, message.GrantCompleted, 10)
	for range 20 {
		b.ask(message.PlaceRequest{PrefixHashes: hashes, PromptTokens: 64})
		again := b.dispatch(full)[0]
		assert.Equal(t, again.Endpoint.ID, first.Endpoint.ID)
		b.event(again.Number, message.GrantCompleted, 10)
	}
	b.advance(time.Second)
	b.cell.ApplyLoad(b.now, b.now, message.LoadReport{Endpoint: first.Endpoint.ID, Incarnation: "b"})
	index := placement.PrefixAffinityScorer{Index: b.cell.prefixes}
	r := &placement.Request{PrefixHashes: hashes}
	index.Prepare(r)
	for _, e := range b.cell.endpoints {
		assert.Equal(t, index.Score(r, &e.candidate), 0.0)
	}
}

// Guards against the settings' policy not being the one in force.
func TestPolicyIsThatOfTheSettings(t *testing.T) {
	b := modelBench(t, placement.RoundRobin, 1_000_000)
	var order []string
	for range 4 {
		b.ask(message.PlaceRequest{})
		g := b.dispatch(full)[0]
		order = append(order, g.Endpoint.ID)
		b.event(g.Number, message.GrantCompleted, 1)
	}
	assert.DeepEqual(t, order, []string{"e1", "e2", "e1", "e2"})
}

// Guards against a request that may crash its endpoint running beside others.
func TestAloneRequestRunsAlone(t *testing.T) {
	b := modelBench(t, placement.Azuredyke, 1_000_000)
	b.ask(message.PlaceRequest{Alone: true})
	b.ask(message.PlaceRequest{})
	b.ask(message.PlaceRequest{})
	grants := b.dispatch(full)
	assert.Equal(t, len(grants), 3)
	on := map[string]int{}
	for _, g := range grants {
		on[g.Endpoint.ID]++
	}
	assert.Equal(t, on[grants[0].Endpoint.ID], 1)
	b.ask(message.PlaceRequest{Alone: true})
	assert.Equal(t, len(b.dispatch(full)), 0)
	b.event(grants[0].Number, message.GrantCompleted, 1)
	assert.Equal(t, len(b.dispatch(full)), 1)
}

// Guards against a queue that is looked at for each progress report.
func TestProgressDoesNotCauseAScan(t *testing.T) {
	b := modelBench(t, placement.Azuredyke, 16_000)
	for range 40 {
		b.ask(message.PlaceRequest{PromptTokens: 1000, MaxTokens: 1000})
	}
	g := b.dispatchComputed(full)[0]
	b.event(g.Number, message.GrantProgress, 5)
	assert.Assert(t, !b.cell.changed)
	assert.Assert(t, !b.cell.scanIsDue(b.now, full))
	assert.Assert(t, b.cell.scanIsDue(b.now.Add(scanInterval), full))
	b.event(g.Number, message.GrantCompleted, 5)
	assert.Assert(t, b.cell.scanIsDue(b.now, full))
}

// Guards against several prompts that are computed at the same time on one endpoint, which delays the tokens of every
// answer there.
func TestPromptsAreSpreadOverTime(t *testing.T) {
	b := modelBench(t, placement.Azuredyke, 16_000)
	for range 6 {
		b.ask(message.PlaceRequest{PromptTokens: 300})
	}
	first := b.dispatch(full)
	assert.Equal(t, len(first), 2, "one prompt on each of two endpoints")
	b.event(first[0].Number, message.GrantProgress, 1)
	assert.Equal(t, len(b.dispatch(full)), 1)
	b.event(first[1].Number, message.GrantCompleted, 1)
	assert.Equal(t, len(b.dispatch(full)), 1)
}
