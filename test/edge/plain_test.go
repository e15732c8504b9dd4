package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/test/harness"
)

// Guards against a node that modifies the request or the answer, forwards the caller's key, or trusts headers that a caller
// forges.
func TestPlainRequestIsForwardedUnchanged(t *testing.T) {
	s, n := startPlainSite(t)
	req := s.Request(n, http.MethodGet, "/lookup/a%20b?x=1&y=%2F", "r1")
	req.Header.Set("X-Tenant", "another")
	req.Header.Set("Kv-From", "10.0.0.1:1/x")
	resp, body, err := send(t, req)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "GET /lookup/a%20b?x=1&y=%2F by desk-1")
	assert.Equal(t, harness.EdgeSignature(resp), "signed-by-desk-1")
	runs := s.Fleet.Runs(t.Context(), "r1")
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Workspace, harness.EdgeWorkspace)
	assert.Equal(t, runs[0].Authorization, "")
	assert.Assert(t, runs[0].DeadlineMs != "")
}

// Guards against a second run of an at-most-once request after a failure, and against a status that says that it has not run.
func TestUnrepeatableRequestIsSentOnce(t *testing.T) {
	for name, behaviour := range map[string]workers.Behaviour{
		"reset": workers.Reset, "truncated": workers.Truncate, "crossed": workers.WrongRequestID, "failed": workers.Fail,
	} {
		t.Run(name, func(t *testing.T) {
			s, n := startPlainSite(t)
			s.AddWorker("desk-2", false)
			s.Fleet.SetBehaviour(t.Context(), "desk-1", behaviour)
			s.Fleet.SetBehaviour(t.Context(), "desk-2", behaviour)
			resp, _, err := send(t, s.Request(n, http.MethodPost, "/booking/1", "r1"))
			assert.NilError(t, err)
			want := http.StatusBadGateway
			if behaviour == workers.Fail {
				want = http.StatusInternalServerError
			}
			assert.Equal(t, resp.StatusCode, want)
			assert.Equal(t, s.Fleet.Arrivals(t.Context(), "r1"), 1)
		})
	}
}

// Guards against an error response to an idempotent request although another endpoint can serve it.
func TestRepeatableRequestIsRetriedAtAnotherEndpoint(t *testing.T) {
	for name, behaviour := range map[string]workers.Behaviour{
		"reset": workers.Reset, "truncated": workers.Truncate, "crossed": workers.WrongRequestID, "failed": workers.Fail, "refused": workers.Refuse,
	} {
		t.Run(name, func(t *testing.T) {
			s, n := startPlainSite(t)
			s.Fleet.SetBehaviour(t.Context(), "desk-1", behaviour)
			s.AddWorker("desk-2", false)
			s.Eventually("the node has discovered both endpoints", func() bool { return strings.Contains(n.Log(), "endpoint desk-2 of") })
			for i := range 4 {
				resp, body, err := send(t, s.Request(n, http.MethodGet, "/lookup/1", string(rune('a'+i))))
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				assert.Assert(t, strings.HasSuffix(body, "by desk-2"))
			}
		})
	}
}

// Guards against a "not run" response to a request that has run, and against a refusal without Retry-After.
func TestRefusedRequestHasNotRun(t *testing.T) {
	s, n := startPlainSite(t)
	s.Fleet.SetBehaviour(t.Context(), "desk-1", workers.Refuse)
	resp, _, err := send(t, s.Request(n, http.MethodPost, "/booking/1", "r1"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, len(s.Fleet.Runs(t.Context(), "r1")), 0)
}

// Guards against a success that no endpoint gave, for a caller that has ended its side of the connection and waits for the answer.
func TestHalfClosedCallerGetsNoFalseSuccess(t *testing.T) {
	s := harness.NewEdgeSite(t, 1)
	s.AddWorkerWith("desk-1", false, func(w *workers.Worker) { w.Delay = 200 * time.Millisecond })
	s.Start()
	for i, method := range []string{http.MethodGet, http.MethodPost} {
		path := map[string]string{http.MethodGet: "/lookup/1", http.MethodPost: "/booking/1"}[method]
		conn, err := net.Dial("tcp", s.Nodes[0].Settings.Listen.Callers)
		assert.NilError(t, err)
		id := fmt.Sprint("half-closed-", i)
		req := s.Request(s.Nodes[0], method, path, id)
		assert.NilError(t, req.Write(conn))
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		resp, err := http.ReadResponse(bufio.NewReader(conn), req)
		assert.NilError(t, err)
		switch resp.StatusCode {
		case http.StatusServiceUnavailable:
			assert.Equal(t, s.Fleet.Arrivals(t.Context(), id), 0)
		case http.StatusBadGateway:
		default:
			assert.Assert(t, harness.EdgeSignature(resp) != "", "%d", resp.StatusCode)
		}
		_ = resp.Body.Close()
		_ = conn.Close()
	}
}

// Guards against forwarding requests with a body over the limit, an unknown path or an unknown key to an endpoint.
func TestBadRequestsReachNoEndpoint(t *testing.T) {
	s, n := startPlainSite(t)
	large := s.Request(n, http.MethodPost, "/booking/1", "large")
	body := strings.Repeat("x", 70000)
	large.Body, large.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	unknown := s.Request(n, http.MethodGet, "/nowhere/1", "unknown")
	forged := s.Request(n, http.MethodGet, "/lookup/1", "forged")
	harness.SetEdgeAPIKey(forged, "not-a-key")
	for _, one := range []struct {
		req    *http.Request
		id     string
		status int
	}{{large, "large", http.StatusRequestEntityTooLarge}, {unknown, "unknown", http.StatusNotFound}, {forged, "forged", http.StatusUnauthorized}} {
		resp, _, err := send(t, one.req)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, one.status)
		assert.Equal(t, s.Fleet.Arrivals(t.Context(), one.id), 0)
		s.Eventually("the refusal of "+one.id+" is logged", func() bool {
			return strings.Contains(n.Log(), `request refused","request":"`+one.id+`"`)
		})
	}
}
