package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/transport/engine"
)

// Guards against parts of a stream that are lost, duplicated or reordered after the connection to the endpoint broke.
func TestBrokenStreamIsResumedWithEachPartOnce(t *testing.T) {
	e := newScriptedEndpoint(t)
	e.generate = func(w http.ResponseWriter, _ *http.Request) {
		writeParts(w, 0, 4, false)
		breakConnection()
	}
	e.resume = func(w http.ResponseWriter, _ *http.Request, after int) {
		// The endpoint repeats two parts that the caller already has.
		writeParts(w, max(0, after-1), scriptedParts, true)
	}
	g := newTestGateway(t, e)
	got := g.do(t, http.MethodPost, chatPath, streamBody)
	assert.Equal(t, streamText(got.body), generationText)
	assert.Assert(t, strings.HasSuffix(got.body, "data: [DONE]\n\n"))
	assert.Equal(t, e.runs.Load(), int64(1))
}

// Guards against a stream that hangs for ever because its connection stalls without being closed.
func TestStalledStreamIsResumed(t *testing.T) {
	e := newScriptedEndpoint(t)
	e.generate = func(w http.ResponseWriter, r *http.Request) {
		writeParts(w, 0, 4, false)
		<-r.Context().Done()
	}
	e.resume = func(w http.ResponseWriter, _ *http.Request, after int) { writeParts(w, after+1, scriptedParts, true) }
	g := newTestGateway(t, e)
	got := g.do(t, http.MethodPost, chatPath, streamBody)
	assert.Equal(t, streamText(got.body), generationText)
}

// Guards against a truncated answer that looks complete, and against tokens of a second generation after those of the first.
func TestStreamOfDeadEndpointEndsWithError(t *testing.T) {
	crashing, other := newScriptedEndpoint(t), newScriptedEndpoint(t)
	crashing.generate = func(w http.ResponseWriter, _ *http.Request) {
		writeParts(w, 0, 4, false)
		breakConnection()
	}
	g := newTestGateway(t, crashing, other)
	got := g.do(t, http.MethodPost, chatPath, streamBody)
	assert.Equal(t, streamText(got.body), "<0><1><2><3>")
	assert.Assert(t, cmp.Contains(got.body, "event: error"))
	assert.Assert(t, cmp.Contains(got.body, `"code":"incomplete_answer"`))
	assert.Assert(t, !strings.Contains(got.body, "[DONE]"))
	assert.Equal(t, other.runs.Load(), int64(0))
}

// Guards against a request without streaming getting a truncated answer, or an error although another endpoint could serve
// it.
func TestNonStreamedAnswerIsRetriedElsewhere(t *testing.T) {
	crashing, other := newScriptedEndpoint(t), newScriptedEndpoint(t)
	crashing.generate = func(w http.ResponseWriter, _ *http.Request) {
		writeParts(w, 0, 4, false)
		breakConnection()
	}
	g := newTestGateway(t, crashing, other)
	got := g.do(t, http.MethodPost, chatPath, nonStreamBody)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.verdict, "ran")
	assert.Assert(t, cmp.Contains(got.body, `"content":"`+strings.NewReplacer("<", `\u003c`, ">", `\u003e`).Replace(generationText)))
	assert.Equal(t, other.runs.Load(), int64(1))
}

// Guards against an answer without its end reason being delivered as complete.
func TestAnswerWithoutEndIsIncomplete(t *testing.T) {
	cut := newScriptedEndpoint(t)
	cut.generate = func(w http.ResponseWriter, _ *http.Request) {
		writeParts(w, 0, 4, true)
	}
	g := newTestGateway(t, cut)
	got := g.do(t, http.MethodPost, chatPath, nonStreamBody)
	assert.Equal(t, got.verdict, "may-have-run")
	assert.Assert(t, got.status >= http.StatusInternalServerError)
}

// Guards against the use of a grant that has lapsed, when the endpoint may already have another owner.
func TestLapsedGrantIsNotUsed(t *testing.T) {
	e := newScriptedEndpoint(t)
	g := newTestGateway(t, e)
	g.placer.startWithin = time.Millisecond
	g.placer.delay = 10 * time.Millisecond
	got := g.do(t, http.MethodPost, chatPath, nonStreamBody)
	assert.Equal(t, got.verdict, "not-run")
	assert.Equal(t, got.header.Get("Retry-After"), "1")
	assert.Equal(t, e.runs.Load(), int64(0))
	for _, r := range g.placer.endReports() {
		assert.Equal(t, r.Event, message.GrantUnused)
	}
}

// Guards against the refusal of one endpoint being passed on to the caller while another endpoint is free.
func TestRefusedRequestIsPlacedElsewhere(t *testing.T) {
	leaving, other := newScriptedEndpoint(t), newScriptedEndpoint(t)
	leaving.generate = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engine.HeaderRefused, engine.RefusedLeaving)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	g := newTestGateway(t, leaving, other)
	got := g.do(t, http.MethodPost, chatPath, streamBody)
	assert.Equal(t, streamText(got.body), generationText)
	ended := g.placer.endReports()
	assert.Equal(t, ended[0].Event, message.GrantRefused)
	assert.Assert(t, ended[0].Leaving)
}

// Guards against a generation that goes on after its caller hung up without a resume window.
func TestHangUpCancelsTheGeneration(t *testing.T) {
	e := newScriptedEndpoint(t)
	e.generate = func(w http.ResponseWriter, r *http.Request) {
		writeParts(w, 0, 4, false)
		<-r.Context().Done()
	}
	e.resume = func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }
	g := newTestGateway(t, e)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+chatPath, strings.NewReader(streamBody))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	cancel()
	<-e.cancelledPaths
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.server.OpenRequests() > 0 {
			return poll.Continue("request still open")
		}
		return poll.Success()
	})
	assert.Equal(t, g.placer.endReports()[0].Event, message.GrantCancelled)
}

// Guards against a request that crashes more than two endpoints when its caller sends it repeatedly.
func TestCrashingRequestReachesAtMostTwoEndpoints(t *testing.T) {
	var endpoints []*scriptedEndpoint
	for range 5 {
		e := newScriptedEndpoint(t)
		e.generate = func(http.ResponseWriter, *http.Request) { breakConnection() }
		endpoints = append(endpoints, e)
	}
	g := newTestGateway(t, endpoints...)
	var last answer
	for range 5 {
		last = g.do(t, http.MethodPost, chatPath, nonStreamBody)
	}
	assert.Assert(t, cmp.Contains(last.body, `"quarantined"`))
	runs := int64(0)
	for _, e := range endpoints {
		runs += e.runs.Load()
	}
	assert.Equal(t, runs, int64(2))
	other := g.do(t, http.MethodGet, "/v1/models", "")
	assert.Equal(t, other.status, http.StatusOK)
}
