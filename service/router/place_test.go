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
func TestPlacesAtARemoteOwner(t *testing.T) {
	remote := newFakeCell(granting)
	owner := startOwner(t, "", map[string]cell{cellOne: remote})
	r := startRouter(t, nil, latest.New(table(map[string]string{cellOne: owner.address})))
	reply := place(t, r, request())
	assert.Assert(t, reply.Grant != nil, "%+v", reply.Refusal)
	assert.Equal(t, reply.Grant.Cell, cellOne)
	assert.Assert(t, reply.Grant.StartWithin >= time.Second)
	for _, event := range []message.GrantEvent{message.GrantStarted, message.GrantCompleted} {
		assert.NilError(t, r.Report(t.Context(), message.GrantReport{Cell: cellOne, Fence: 1, Number: 7, Event: event}))
	}
	assert.Equal(t, remote.next(t).Event, message.GrantStarted)
	assert.Equal(t, remote.next(t).Event, message.GrantCompleted)
	assert.NilError(t, r.Flush(t.Context()))
}

// Guards against a refusal of one cell that is final although another cell has room, and against a wait that starts anew
// at each cell.
func TestBusyCellIsLeftForAnother(t *testing.T) {
	waits := make(chan time.Duration, 1)
	own := newFakeCell(refusing(verdict.ReasonBusy))
	remote := newFakeCell(func(ctx context.Context, req message.PlaceRequest) (message.PlaceReply, error) {
		waits <- req.MaxWait
		return granting(ctx, req)
	})
	owner := startOwner(t, "", map[string]cell{cellTwo: remote})
	r := startRouter(t, map[string]cell{cellOne: own}, latest.New(table(map[string]string{cellTwo: owner.address})))
	reply := place(t, r, request())
	assert.Assert(t, reply.Grant != nil)
	assert.Equal(t, reply.Grant.Cell, cellTwo)
	assert.Assert(t, <-waits < longWait)
}

// Guards against a request that is asked for ever when all cells refuse, or that hides why.
func TestRefusalOfAllCellsIsReturned(t *testing.T) {
	r := startRouter(t, map[string]cell{
		cellOne: newFakeCell(refusing(verdict.ReasonBusy)), cellTwo: newFakeCell(refusing(verdict.ReasonBusy)),
	}, latest.New(table(nil)))
	reply := place(t, r, request())
	assert.Equal(t, reply.Refusal.Reason, verdict.ReasonBusy)
	other := newFakeCell(refusing(verdict.ReasonLimit))
	r = startRouter(t, map[string]cell{cellOne: other}, latest.New(table(nil)))
	assert.Equal(t, place(t, r, request()).Refusal.Reason, verdict.ReasonLimit)
}

// Guards against a request that is lost with the owner it was sent to.
func TestUnreachableOwnerIsLeftForAnother(t *testing.T) {
	gone := startOwner(t, "", nil)
	gone.stop()
	owner := startOwner(t, "", map[string]cell{cellTwo: newFakeCell(granting)})
	r := startRouter(t, nil, latest.New(table(map[string]string{cellOne: gone.address, cellTwo: owner.address})))
	reply := place(t, r, request())
	assert.Assert(t, reply.Grant != nil)
	assert.Equal(t, reply.Grant.Cell, cellTwo)
}

// Guards against a refusal during the failover of a cell that ends within the request's own wait.
func TestWaitsForAnOwner(t *testing.T) {
	owner := startOwner(t, "", map[string]cell{})
	members := latest.New(table(nil))
	r := startRouter(t, nil, members)
	replies := make(chan message.PlaceReply, 1)
	go func() {
		reply, _ := r.Place(t.Context(), request())
		replies <- reply
	}()
	// The table names the owner before the owner has started the cell.
	members.Publish(table(map[string]string{cellOne: owner.address}))
	owner.cells.Publish(map[string]cell{cellOne: newFakeCell(granting)})
	assert.Assert(t, (<-replies).Grant != nil)

	r = startRouter(t, nil, latest.New(table(nil)))
	req := request()
	req.MaxWait = 50 * time.Millisecond
	reply, err := r.Place(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, reply.Refusal.Reason, verdict.ReasonNoOwner)
}

// Guards against a grant that stays charged because its caller had given up when it was made.
func TestLateGrantIsReturned(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	remote := newFakeCell(func(ctx context.Context, req message.PlaceRequest) (message.PlaceReply, error) {
		close(entered)
		<-release
		return granting(ctx, req)
	})
	owner := startOwner(t, "", map[string]cell{cellOne: remote})
	r := startRouter(t, nil, latest.New(table(map[string]string{cellOne: owner.address})))
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := r.Place(ctx, request())
		failed <- err
	}()
	<-entered
	cancel()
	assert.ErrorIs(t, <-failed, context.Canceled)
	close(release)
	report := remote.next(t)
	assert.Equal(t, report.Event, message.GrantUnused)
	assert.Equal(t, report.Number, uint64(7))
}
