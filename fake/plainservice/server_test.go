package plainservice

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/transport/engine"
)

// Guards against goroutines that are still running after their server has ended.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// run calls body with a running service in a synctest bubble.
func run(t *testing.T, o Options, body func(t *testing.T, s *Server)) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer(o)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { s.Run(ctx) })
		body(t, s)
		cancel()
		running.Wait()
	})
}

// call sends a call with an idempotency key and a fencing token. The status is 0 if the connection was closed.
func call(ctx context.Context, s *Server, key, fence string) (status int, refused string) {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/reserve", strings.NewReader("one"))
	r.Header.Set("Idempotency-Key", key)
	r.Header.Set(engine.HeaderFence, fence)
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	s.ServeHTTP(w, r)
	return w.Code, w.Header().Get(engine.HeaderRefused)
}

// Guards against failures before a call runs that are counted as runs, and failures after it runs that are not.
func TestFailuresBeforeAndAfterRunning(t *testing.T) {
	for how, want := range map[Failure]struct{ status, runs int }{
		FailBefore: {0, 0}, FailAfter: {0, 1}, FailStatus: {500, 1}, FailBusy: {503, 0}, FailSilent: {0, 1}, FailNone: {200, 1},
	} {
		run(t, Options{Latency: time.Second}, func(t *testing.T, s *Server) {
			s.Fail(1, how)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			status, _ := call(ctx, s, "k", "1")
			assert.Equal(t, status, want.status, "failure %d", how)
			assert.Equal(t, s.Stats().Runs["k"], want.runs, "failure %d", how)
			status, _ = call(ctx, s, "k", "1")
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, s.Stats().InFlight, 0)
		})
	}
}

// Guards against a call that is not run when its caller closes the connection, and against answers during a stall.
func TestCallOutlivesItsCaller(t *testing.T) {
	run(t, Options{Latency: time.Second}, func(t *testing.T, s *Server) {
		began := time.Now()
		go func() {
			time.Sleep(500 * time.Millisecond)
			s.Stall(time.Hour)
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		status, _ := call(ctx, s, "k", "1")
		assert.Equal(t, status, 0)
		assert.Equal(t, time.Since(began), 2*time.Second)
		assert.Equal(t, s.Stats().Runs["k"], 1)
	})
}

// Guards against refusals without the refusal header, and against refused calls that are run.
func TestRefusals(t *testing.T) {
	run(t, Options{HonoursFencing: true}, func(t *testing.T, s *Server) {
		call(t.Context(), s, "a", "5")
		_, refused := call(t.Context(), s, "b", "4")
		assert.Equal(t, refused, engine.RefusedStaleFence)
		s.StartLeaving()
		status, refused := call(t.Context(), s, "b", "5")
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, refused, engine.RefusedLeaving)
		assert.Equal(t, s.Stats().Runs["b"], 0)
	})
}
