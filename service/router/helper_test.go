package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/transport/peer"
)

// testTimeout bounds the waits for events that normally follow at once, so that a failing test ends.
const testTimeout = 30 * time.Second

const (
	cellOne = "cells/notes/one/0-of-1"
	cellTwo = "cells/notes/two/0-of-1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeCell answers placement requests with a function and records the reports.
type fakeCell struct {
	answer  func(ctx context.Context, r message.PlaceRequest) (message.PlaceReply, error)
	reports chan message.GrantReport
}

func newFakeCell(answer func(context.Context, message.PlaceRequest) (message.PlaceReply, error)) *fakeCell {
	return &fakeCell{answer: answer, reports: make(chan message.GrantReport, 10_000)}
}

func (c *fakeCell) Place(ctx context.Context, r message.PlaceRequest) (message.PlaceReply, error) {
	return c.answer(ctx, r)
}

func (c *fakeCell) Report(_ context.Context, r message.GrantReport) error {
	c.reports <- r
	return nil
}

func (c *fakeCell) nextReport(t *testing.T) message.GrantReport {
	t.Helper()
	select {
	case r := <-c.reports:
		return r
	case <-time.After(testTimeout):
		t.Fatal("no report arrived")
		return message.GrantReport{}
	}
}

func answerGrant(_ context.Context, r message.PlaceRequest) (message.PlaceReply, error) {
	return message.PlaceReply{Grant: &message.Grant{
		Cell: r.Cell, Number: 7, Fence: 1, StartWithin: time.Second, Endpoint: message.Endpoint{ID: "e"},
	}}, nil
}

func answerRefusal(reason verdict.Reason) func(context.Context, message.PlaceRequest) (message.PlaceReply, error) {
	return func(context.Context, message.PlaceRequest) (message.PlaceReply, error) {
		return newRefusal(reason, "test"), nil
	}
}

// newTestCells returns the localCells of a map that a test may replace.
func newTestCells(current *latest.Value[map[string]localCell]) localCells {
	return func() (func(string) (localCell, bool), <-chan struct{}) {
		byName, changed := current.Watch()
		return func(name string) (localCell, bool) {
			c, ok := byName[name]
			return c, ok
		}, changed
	}
}

func newSnapshot() *latest.Value[*config.Snapshot] {
	return latest.New(config.NewSnapshot(1, []*config.Object{
		{Ref: config.Ref{Kind: config.KindDataCentre, Name: "one"}, DataCentre: &config.DataCentre{Region: "bengal"}},
		{Ref: config.Ref{Kind: config.KindDataCentre, Name: "two"}, DataCentre: &config.DataCentre{Region: "bengal"}},
		{Ref: config.Ref{Kind: config.KindService, Name: "notes"}, Service: &config.Service{Cells: 1}},
	}))
}

// ownerNode is a node that owns cells and serves the routers of other nodes.
type ownerNode struct {
	address string
	cells   *latest.Value[map[string]localCell]
	stop    func()
}

// startOwner starts an ownerNode that listens on the address, or on a free port if the address is empty.
func startOwner(t *testing.T, address string, local map[string]localCell) *ownerNode {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	n := &ownerNode{address: listener.Addr().String(), cells: latest.New(local)}
	hub := peer.NewHub(zaptest.NewLogger(t), peer.Options{NodeID: n.address})
	placements := newServer(zaptest.NewLogger(t), newTestCells(n.cells))
	RegisterHandlers(hub, placements)
	server := &http.Server{Handler: hub.Handler()}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { hub.Run(ctx) })
	running.Go(func() { placements.Run(ctx) })
	n.stop = sync.OnceFunc(func() {
		_ = server.Close()
		cancel()
		running.Wait()
	})
	t.Cleanup(n.stop)
	return n
}

// newMemberTable returns a member table in which each address owns one cell, with fence 1. The map holds the address of
// the owner by the name of the cell.
func newMemberTable(owners map[string]string) *membership.Table {
	v := membership.NewView(membership.Member{ID: "self", Address: "self", Incarnation: 1}, membership.Params{},
		rand.New(rand.NewPCG(1, 2)))
	for name, address := range owners {
		v.Receive(time.Now(), membership.Message{Updates: []membership.Member{{
			ID: address, Address: address, Incarnation: 1, Holdings: []message.Holding{{Resource: name, Fence: 1}},
		}}})
	}
	return v.Table()
}

// startRouter runs a router in data centre one.
func startRouter(t *testing.T, local map[string]localCell, members *latest.Value[*membership.Table]) *Router {
	t.Helper()
	hub := peer.NewHub(zaptest.NewLogger(t), peer.Options{
		NodeID: "self", MaxBackoff: 200 * time.Millisecond, PingAfter: 50 * time.Millisecond, DeadAfter: time.Second,
	})
	r := newRouter(zaptest.NewLogger(t), Options{DataCentre: "one", Region: "bengal", Hub: hub, Members: members},
		newSnapshot(), newTestCells(latest.New(local)))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { hub.Run(ctx) })
	running.Go(func() { r.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return r
}

func newPlaceRequest() message.PlaceRequest {
	return message.PlaceRequest{RequestID: "r", Attempt: 1, Service: "notes", MaxWait: testTimeout}
}

func mustPlace(t *testing.T, r *Router, req message.PlaceRequest) message.PlaceReply {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), req.MaxWait)
	defer cancel()
	reply, err := r.Place(ctx, req)
	assert.NilError(t, err)
	return reply
}
