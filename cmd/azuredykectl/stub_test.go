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

// stub is an operator API that returns err or revision 7 for each change. It lists one node that is alive and has an older
// revision in force.
type stub struct {
	operatorv1connect.UnimplementedOperatorServiceHandler
	err error
}

// SetDataCentreState implements operatorv1connect.OperatorServiceHandler.
func (s stub) SetDataCentreState(context.Context, *connect.Request[operatorv1.SetDataCentreStateRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	return connect.NewResponse(&operatorv1.ChangeResponse{Revision: 7}), s.err
}

// ListNodes implements operatorv1connect.OperatorServiceHandler.
func (s stub) ListNodes(context.Context, *connect.Request[operatorv1.ListNodesRequest]) (*connect.Response[operatorv1.ListNodesResponse], error) {
	return connect.NewResponse(&operatorv1.ListNodesResponse{Nodes: []*operatorv1.Node{
		{Id: "a", State: stateAlive, ConfigRevision: 7},
		{Id: "b", State: stateAlive, ConfigRevision: 6},
		{Id: "c", State: "removed", ConfigRevision: 1},
	}}), nil
}

// startServer starts an HTTP server that runs until the test ends.
func startServer(t *testing.T, h http.Handler) harness {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return harness{server: server.URL, token: "t"}
}

func newStubHandler(s stub) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(s))
	return mux
}

// Guards against a lost response to a change that is reported as a definite failure, although the change may have taken
// effect. The server aborts the connection, does not respond before the client cancels, or returns an unknown error.
func TestLostResponseIsUnknownOutcome(t *testing.T) {
	args := []string{"datacentre", "out", "west", "--reason", "r", "--operation-id", "op-9"}
	aborting := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	r := aborting.ctl(t, args...)
	assert.Equal(t, r.code, exitOutcomeUnknown, r.errOut)
	assert.Assert(t, cmp.Contains(r.errOut, "--operation-id op-9"))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	hanging := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// net/http cancels the request context on a disconnect only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	}))
	code := run(ctx, append([]string{"--server", hanging.server}, args...), strings.NewReader(""), io.Discard, io.Discard)
	assert.Equal(t, code, exitOutcomeUnknown)
	unknown := startServer(t, newStubHandler(stub{err: connect.NewError(connect.CodeUnknown, context.Canceled)}))
	assert.Equal(t, unknown.ctl(t, args...).code, exitOutcomeUnknown)
	// The outcome of a read is never unknown.
	assert.Equal(t, aborting.ctl(t, "nodes").code, exitUnavailable)
}

// Guards against a change that is reported as having an unknown outcome when the server is unreachable or refuses it.
func TestUnavailableIsNotUnknownOutcome(t *testing.T) {
	args := []string{"datacentre", "out", "west", "--reason", "r"}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	assert.Equal(t, harness{server: closed.URL}.ctl(t, args...).code, exitUnavailable)
	refusing := startServer(t, newStubHandler(stub{err: connect.NewError(connect.CodeUnavailable, context.Canceled)}))
	assert.Equal(t, refusing.ctl(t, args...).code, exitUnavailable)
	denied := startServer(t, newStubHandler(stub{err: connect.NewError(connect.CodePermissionDenied, context.Canceled)}))
	assert.Equal(t, denied.ctl(t, args...).code, exitPermission)
}

// Guards against --wait that succeeds while a node that is alive has an older revision in force.
func TestWaitTimesOutWhileNodeLags(t *testing.T) {
	h := startServer(t, newStubHandler(stub{}))
	r := h.ctl(t, "datacentre", "out", "west", "--reason", "r", "--wait", "--wait-timeout", "10ms")
	assert.Equal(t, r.code, exitNotInForce, r.errOut)
	assert.Assert(t, cmp.Contains(r.errOut, "in force on 1 of 2 nodes"))
	assert.Assert(t, cmp.Contains(r.out, "7"))
}

// Guards against error output that contains the operator token.
func TestTokenIsNotShown(t *testing.T) {
	r := harness{server: "http://127.0.0.1:1", token: "very-secret-token"}.ctl(t, "nodes")
	assert.Assert(t, r.code != exitOK)
	assert.Assert(t, !cmp.Contains(r.out+r.errOut, "very-secret-token")().Success())
}
