package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/membership"
)

func newReport(number int, event message.GrantEvent) message.GrantReport {
	return message.GrantReport{Cell: cellOne, Fence: 1, Number: uint64(number), Event: event}
}

// Guards against the loss of end reports while the owner cannot be reached, which would leave the grants charged.
func TestEndReportSurvivesLinkLoss(t *testing.T) {
	remote := newFakeCell(answerGrant)
	owner := startOwner(t, "", map[string]localCell{cellOne: remote})
	members := latest.New(newMemberTable(map[string]string{cellOne: owner.address}))
	r := startRouter(t, nil, members)
	assert.Assert(t, mustPlace(t, r, newPlaceRequest()).Grant != nil)
	owner.stop()
	// The owner may be removed from the member table in the meantime.
	members.Publish(newMemberTable(nil))
	for i := range 1000 {
		assert.NilError(t, r.Report(t.Context(), newReport(i, message.GrantCompleted)))
	}
	startOwner(t, owner.address, map[string]localCell{cellOne: remote})
	for i := range 1000 {
		got := remote.nextReport(t)
		assert.Equal(t, got.Number, uint64(i), "reports arrive in order")
	}
	assert.NilError(t, r.Flush(t.Context()))
}

// Guards against reports to a former owner that are kept for ever.
func TestReportsForFormerOwnerAreDropped(t *testing.T) {
	gone := startOwner(t, "", nil)
	gone.stop()
	members := latest.New(newMemberTable(map[string]string{cellOne: gone.address}))
	r := startRouter(t, nil, members)
	assert.NilError(t, r.Report(t.Context(), newReport(1, message.GrantCompleted)))
	v := membership.NewView(membership.Member{ID: "self", Incarnation: 1}, membership.Params{}, nil)
	v.SetLocal(1, []message.Holding{{Resource: cellOne, Fence: 2}})
	members.Publish(v.Table())
	assert.NilError(t, r.Flush(t.Context()))
	assert.NilError(t, r.Report(t.Context(), newReport(2, message.GrantCompleted)))
	assert.NilError(t, r.Flush(t.Context()))
}

// Guards against a grant that stays charged when its reply was lost, when the cancellation arrives before the placement
// request, and when the cancellation arrives twice.
func TestCancelReturnsTheGrant(t *testing.T) {
	local := newFakeCell(answerGrant)
	server := newServer(nil, newTestCells(latest.New(map[string]localCell{cellOne: local})))
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Run(t.Context())
	}()
	t.Cleanup(func() { <-done })
	req := newPlaceRequest()
	req.Cell = cellOne
	reply, err := server.place(t.Context(), placeCall{Token: 1, Request: req})
	assert.NilError(t, err)
	assert.Assert(t, reply.Grant != nil)
	for range 2 {
		assert.NilError(t, server.report(t.Context(), reportBatch{Cancels: []uint64{1}}))
		assert.Equal(t, local.nextReport(t).Event, message.GrantUnused)
	}
	assert.NilError(t, server.report(t.Context(), reportBatch{Cancels: []uint64{2}}))
	reply, err = server.place(t.Context(), placeCall{Token: 2, Request: req})
	assert.NilError(t, err)
	assert.Assert(t, reply.Grant == nil)
	assert.Equal(t, len(local.reports), 0)
}

// Guards against unbounded memory for progress reports, and against a progress report after the end of its grant.
func TestProgressIsMerged(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newQueue()
	add := func(n int, e message.GrantEvent, tokens int) {
		g := newReport(n, e)
		g.Tokens = tokens
		q.add(now, delivery{cell: g.Cell, fence: g.Fence, report: &g})
	}
	for tokens := range 100 {
		add(1, message.GrantProgress, tokens)
		add(2, message.GrantProgress, tokens)
	}
	wait, due := q.dueIn(now)
	assert.Assert(t, due)
	assert.Equal(t, wait, progressInterval)
	add(2, message.GrantCompleted, 100)
	batch, n := q.nextBatch(now.Add(progressInterval))
	assert.Equal(t, n, 1)
	assert.Equal(t, len(batch.Reports), 2)
	assert.Equal(t, batch.Reports[0].Event, message.GrantCompleted)
	assert.Equal(t, batch.Reports[1].Tokens, 99)
	q.removeDelivered(n)
	assert.Assert(t, q.empty())
	for i := range 2 * maxProgress {
		add(i, message.GrantProgress, 1)
	}
	assert.Equal(t, len(q.progress), maxProgress)
}

// Guards against an unbounded queue of reports while the owner cannot be reached.
func TestReportsWaitWhenTheQueueIsFull(t *testing.T) {
	gone := startOwner(t, "", nil)
	gone.stop()
	r := startRouter(t, nil, latest.New(newMemberTable(map[string]string{cellOne: gone.address})))
	go func() {
		for i := range 2 * maxQueued {
			if r.Report(t.Context(), newReport(i, message.GrantCompleted)) != nil {
				return
			}
		}
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s := r.senders.Load()[gone.address]
		if s == nil || s.deliveries.Len() < senderCapacity {
			return poll.Continue("the queue has room")
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
}
