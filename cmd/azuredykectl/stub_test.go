package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// stub answers changes with a fixed error or revision and shows one node that lags behind.
type stub struct {
	operatorv1connect.UnimplementedOperatorServiceHandler
	err error
}

// SetDataCentreState implements the operator API.
func (s stub) SetDataCentreState(context.Context, *connect.Request[operatorv1.SetDataCentreStateRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	return connect.NewResponse(&operatorv1.ChangeResponse{Revision: 7}), s.err
}

// ListNodes implements the operator API.
func (s stub) ListNodes(context.Context, *connect.Request[operatorv1.ListNodesRequest]) (*connect.Response[operatorv1.ListNodesResponse], error) {
	return connect.NewResponse(&operatorv1.ListNodesResponse{Nodes: []*operatorv1.Node{
		{Id: "a", State: stateAlive, ConfigRevision: 7},
		{Id: "b", State: stateAlive, ConfigRevision: 6},
		{Id: "c", State: "removed", ConfigRevision: 1},
	}}), nil
}

// startStub serves a stub until the test ends.
func startStub(t *testing.T, h http.Handler) harness {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return harness{server: server.URL, token: "t"}
}

func handler(s stub) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(s))
	return mux
}

// Guards against a lost answer that is reported as a refusal: the change may have taken effect.
func TestLostAnswerIsUnknownOutcome(t *testing.T) {
	out := []string{"datacentre", "out", "west", "--reason", "r", "--operation-id", "op-9"}
	cut := startStub(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	r := cut.ctl(t, out...)
	assert.Equal(t, r.code, exitUnknown, r.errOut)
	assert.Assert(t, cmp.Contains(r.errOut, "--operation-id op-9"))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	silent := startStub(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The server notices that the client has gone only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	}))
	code := run(ctx, append([]string{"--server", silent.server}, out...), strings.NewReader(""), io.Discard, io.Discard)
	assert.Equal(t, code, exitUnknown)
	unknown := startStub(t, handler(stub{err: connect.NewError(connect.CodeUnknown, context.Canceled)}))
	assert.Equal(t, unknown.ctl(t, out...).code, exitUnknown)
	// Reads have no outcome that could be unknown.
	assert.Equal(t, cut.ctl(t, "nodes").code, exitUnavailable)
}

// Guards against a server that cannot be reached, or that refuses, being reported as an unknown outcome.
func TestUnavailableIsNotUnknown(t *testing.T) {
	out := []string{"datacentre", "out", "west", "--reason", "r"}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	assert.Equal(t, harness{server: closed.URL}.ctl(t, out...).code, exitUnavailable)
	refusing := startStub(t, handler(stub{err: connect.NewError(connect.CodeUnavailable, context.Canceled)}))
	assert.Equal(t, refusing.ctl(t, out...).code, exitUnavailable)
	denied := startStub(t, handler(stub{err: connect.NewError(connect.CodePermissionDenied, context.Canceled)}))
	assert.Equal(t, denied.ctl(t, out...).code, exitPermission)
}

// Guards against --wait that succeeds while a node that is alive has an older revision.
func TestWaitTimesOutWhileNodeLags(t *testing.T) {
	h := startStub(t, handler(stub{}))
	r := h.ctl(t, "datacentre", "out", "west", "--reason", "r", "--wait", "--wait-timeout", "10ms")
	assert.Equal(t, r.code, exitNotInForce, r.errOut)
	assert.Assert(t, cmp.Contains(r.errOut, "in force on 1 of 2 nodes"))
	assert.Assert(t, cmp.Contains(r.out, "7"))
}

// Guards against the token in errors.
func TestTokenIsNotShown(t *testing.T) {
	r := harness{server: "http://127.0.0.1:1", token: "very-secret-token"}.ctl(t, "nodes")
	assert.Assert(t, r.code != exitOK)
	assert.Assert(t, !cmp.Contains(r.out+r.errOut, "very-secret-token")().Success())
}
