package router

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
)

// Guards against a request that fails although an owner on another node has room.
func TestPlaceAtRemoteOwner(t *testing.T) {
	remote := newFakeCell(answerGrant)
	owner := startOwner(t, "", map[string]localCell{cellOne: remote})
	r := startRouter(t, nil, latest.New(newMemberTable(map[string]string{cellOne: owner.address})))
	reply := mustPlace(t, r, newPlaceRequest())
	assert.Assert(t, reply.Grant != nil, "%+v", reply.Refusal)
	assert.Equal(t, reply.Grant.Cell, cellOne)
	assert.Assert(t, reply.Grant.StartWithin >= time.Second)
	for _, event := range []message.GrantEvent{message.GrantStarted, message.GrantCompleted} {
		assert.NilError(t, r.Report(t.Context(), message.GrantReport{Cell: cellOne, Fence: 1, Number: 7, Event: event}))
	}
	assert.Equal(t, remote.nextReport(t).Event, message.GrantStarted)
	assert.Equal(t, remote.nextReport(t).Event, message.GrantCompleted)
	assert.NilError(t, r.Flush(t.Context()))
}

// Guards against a refusal by one cell that ends the placement although another cell has room, and against a MaxWait that
// starts again at each cell.
func TestPlaceTriesAnotherCellAfterBusy(t *testing.T) {
	waits := make(chan time.Duration, 1)
	local := newFakeCell(answerRefusal(verdict.ReasonBusy))
	remote := newFakeCell(func(ctx context.Context, req message.PlaceRequest) (message.PlaceReply, error) {
		waits <- req.MaxWait
		return answerGrant(ctx, req)
	})
	owner := startOwner(t, "", map[string]localCell{cellTwo: remote})
	r := startRouter(t, map[string]localCell{cellOne: local},
		latest.New(newMemberTable(map[string]string{cellTwo: owner.address})))
	reply := mustPlace(t, r, newPlaceRequest())
	assert.Assert(t, reply.Grant != nil)
	assert.Equal(t, reply.Grant.Cell, cellTwo)
	assert.Assert(t, <-waits < testTimeout)
}

// Guards against endless retries when all cells refuse, and against the loss of the refusal's reason.
func TestRefusalOfAllCellsIsReturned(t *testing.T) {
	r := startRouter(t, map[string]localCell{
		cellOne: newFakeCell(answerRefusal(verdict.ReasonBusy)), cellTwo: newFakeCell(answerRefusal(verdict.ReasonBusy)),
	}, latest.New(newMemberTable(nil)))
	reply := mustPlace(t, r, newPlaceRequest())
	assert.Equal(t, reply.Refusal.Reason, verdict.ReasonBusy)
	other := newFakeCell(answerRefusal(verdict.ReasonLimit))
	r = startRouter(t, map[string]localCell{cellOne: other}, latest.New(newMemberTable(nil)))
	assert.Equal(t, mustPlace(t, r, newPlaceRequest()).Refusal.Reason, verdict.ReasonLimit)
}

// Guards against a placement that fails because the first owner cannot be reached.
func TestPlaceTriesAnotherCellAfterUnreachableOwner(t *testing.T) {
	gone := startOwner(t, "", nil)
	gone.stop()
	owner := startOwner(t, "", map[string]localCell{cellTwo: newFakeCell(answerGrant)})
	r := startRouter(t, nil, latest.New(newMemberTable(map[string]string{cellOne: gone.address, cellTwo: owner.address})))
	reply := mustPlace(t, r, newPlaceRequest())
	assert.Assert(t, reply.Grant != nil)
	assert.Equal(t, reply.Grant.Cell, cellTwo)
}

// Guards against a refusal while a cell has no owner, if the cell gets an owner within the request's MaxWait.
func TestPlaceWaitsForOwner(t *testing.T) {
	owner := startOwner(t, "", map[string]localCell{})
	members := latest.New(newMemberTable(nil))
	r := startRouter(t, nil, members)
	replies := make(chan message.PlaceReply, 1)
	go func() {
		reply, _ := r.Place(t.Context(), newPlaceRequest())
		replies <- reply
	}()
	// The member table lists the owner before the owner has started the cell.
	members.Publish(newMemberTable(map[string]string{cellOne: owner.address}))
	owner.cells.Publish(map[string]localCell{cellOne: newFakeCell(answerGrant)})
	assert.Assert(t, (<-replies).Grant != nil)

	r = startRouter(t, nil, latest.New(newMemberTable(nil)))
	req := newPlaceRequest()
	req.MaxWait = 50 * time.Millisecond
	reply, err := r.Place(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, reply.Refusal.Reason, verdict.ReasonNoOwner)
}

// Guards against a grant that stays charged to the cell when its caller gave up before the grant was made.
func TestLateGrantIsReturned(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	remote := newFakeCell(func(ctx context.Context, req message.PlaceRequest) (message.PlaceReply, error) {
		close(entered)
		<-release
		return answerGrant(ctx, req)
	})
	owner := startOwner(t, "", map[string]localCell{cellOne: remote})
	r := startRouter(t, nil, latest.New(newMemberTable(map[string]string{cellOne: owner.address})))
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := r.Place(ctx, newPlaceRequest())
		failed <- err
	}()
	<-entered
	cancel()
	assert.ErrorIs(t, <-failed, context.Canceled)
	close(release)
	report := remote.nextReport(t)
	assert.Equal(t, report.Event, message.GrantUnused)
	assert.Equal(t, report.Number, uint64(7))
}
