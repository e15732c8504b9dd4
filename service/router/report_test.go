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

func report(number int, event message.GrantEvent) message.GrantReport {
	return message.GrantReport{Cell: cellOne, Fence: 1, Number: uint64(number), Event: event}
}

// Guards against the end of a grant that is lost while its owner cannot be reached, which leaves the grant charged.
func TestEndOfGrantSurvivesALostLink(t *testing.T) {
	remote := newFakeCell(granting)
	owner := startOwner(t, "", map[string]cell{cellOne: remote})
	members := latest.New(table(map[string]string{cellOne: owner.address}))
	r := startRouter(t, nil, members)
	assert.Assert(t, place(t, r, request()).Grant != nil)
	owner.stop()
	// The member table may forget the owner meanwhile.
	members.Publish(table(nil))
	for i := range 1000 {
		assert.NilError(t, r.Report(t.Context(), report(i, message.GrantCompleted)))
	}
	startOwner(t, owner.address, map[string]cell{cellOne: remote})
	for i := range 1000 {
		got := remote.next(t)
		assert.Equal(t, got.Number, uint64(i), "reports arrive in order")
	}
	assert.NilError(t, r.Flush(t.Context()))
}

// Guards against reports that are kept for ever for an owner that was replaced.
func TestReportsForAnEarlierOwnerAreDropped(t *testing.T) {
	gone := startOwner(t, "", nil)
	gone.stop()
	members := latest.New(table(map[string]string{cellOne: gone.address}))
	r := startRouter(t, nil, members)
	assert.NilError(t, r.Report(t.Context(), report(1, message.GrantCompleted)))
	v := membership.NewView(membership.Member{ID: "self", Incarnation: 1}, membership.Params{}, nil)
	v.SetLocal(1, []message.Holding{{Resource: cellOne, Fence: 2}})
	members.Publish(v.Table())
	assert.NilError(t, r.Flush(t.Context()))
	assert.NilError(t, r.Report(t.Context(), report(2, message.GrantCompleted)))
	assert.NilError(t, r.Flush(t.Context()))
}

// Guards against a grant that the owner keeps when the reply was lost after it was made, when the cancellation arrives
// first, and when it arrives twice.
func TestCancelReturnsTheGrant(t *testing.T) {
	own := newFakeCell(granting)
	server := newServer(nil, fixedCells(latest.New(map[string]cell{cellOne: own})))
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Run(t.Context())
	}()
	t.Cleanup(func() { <-done })
	req := request()
	req.Cell = cellOne
	reply, err := server.place(t.Context(), placeCall{Token: 1, Request: req})
	assert.NilError(t, err)
	assert.Assert(t, reply.Grant != nil)
	for range 2 {
		assert.NilError(t, server.report(t.Context(), reportBatch{Cancels: []uint64{1}}))
		assert.Equal(t, own.next(t).Event, message.GrantUnused)
	}
	assert.NilError(t, server.report(t.Context(), reportBatch{Cancels: []uint64{2}}))
	reply, err = server.place(t.Context(), placeCall{Token: 2, Request: req})
	assert.NilError(t, err)
	assert.Assert(t, reply.Grant == nil)
	assert.Equal(t, len(own.reports), 0)
}

// Guards against memory that grows with progress reports, and progress after the end of its grant.
func TestProgressIsMerged(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newQueue()
	add := func(n int, e message.GrantEvent, tokens int) {
		g := report(n, e)
		g.Tokens = tokens
		q.add(now, item{cell: g.Cell, fence: g.Fence, report: &g})
	}
	for tokens := range 100 {
		add(1, message.GrantProgress, tokens)
		add(2, message.GrantProgress, tokens)
	}
	wait, due := q.dueIn(now)
	assert.Assert(t, due)
	assert.Equal(t, wait, progressInterval)
	add(2, message.GrantCompleted, 100)
	batch, n := q.batch(now.Add(progressInterval))
	assert.Equal(t, n, 1)
	assert.Equal(t, len(batch.Reports), 2)
	assert.Equal(t, batch.Reports[0].Event, message.GrantCompleted)
	assert.Equal(t, batch.Reports[1].Tokens, 99)
	q.delivered(n)
	assert.Assert(t, q.empty())
	for i := range 2 * maxProgress {
		add(i, message.GrantProgress, 1)
	}
	assert.Equal(t, len(q.progress), maxProgress)
}

// Guards against a sender that takes reports without bound while its owner is away.
func TestReportsWaitWhenTheQueueIsFull(t *testing.T) {
	gone := startOwner(t, "", nil)
	gone.stop()
	r := startRouter(t, nil, latest.New(table(map[string]string{cellOne: gone.address})))
	go func() {
		for i := range 2 * maxQueued {
			if r.Report(t.Context(), report(i, message.GrantCompleted)) != nil {
				return
			}
		}
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		o := r.senders.Load()[gone.address]
		if o == nil || o.items.Len() < senderCapacity {
			return poll.Continue("the queue has room")
		}
		return poll.Success()
	}, poll.WithTimeout(longWait))
}
