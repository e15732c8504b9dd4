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

// Guards against a broken connection that loses, doubles or reorders parts of a stream.
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
	s := newSite(t, e)
	got := s.do(t, http.MethodPost, chatPath, streamBody)
	assert.Equal(t, streamText(got.body), wholeText)
	assert.Assert(t, strings.HasSuffix(got.body, "data: [DONE]\n\n"))
	assert.Equal(t, e.runs.Load(), int64(1))
}

// Guards against a link that stalls without closing holding a stream for ever.
func TestStalledStreamIsResumed(t *testing.T) {
	e := newScriptedEndpoint(t)
	e.generate = func(w http.ResponseWriter, r *http.Request) {
		writeParts(w, 0, 4, false)
		<-r.Context().Done()
	}
	e.resume = func(w http.ResponseWriter, _ *http.Request, after int) { writeParts(w, after+1, scriptedParts, true) }
	s := newSite(t, e)
	got := s.do(t, http.MethodPost, chatPath, streamBody)
	assert.Equal(t, streamText(got.body), wholeText)
}

// Guards against a cut answer that looks complete, and against tokens of a second generation after those of the first.
func TestStreamOfDeadEndpointEndsWithAnHonestError(t *testing.T) {
	dying, other := newScriptedEndpoint(t), newScriptedEndpoint(t)
	dying.generate = func(w http.ResponseWriter, _ *http.Request) {
		writeParts(w, 0, 4, false)
		breakConnection()
	}
	s := newSite(t, dying, other)
	got := s.do(t, http.MethodPost, chatPath, streamBody)
	assert.Equal(t, streamText(got.body), "<0><1><2><3>")
	assert.Assert(t, cmp.Contains(got.body, "event: error"))
	assert.Assert(t, cmp.Contains(got.body, `"code":"incomplete_answer"`))
	assert.Assert(t, !strings.Contains(got.body, "[DONE]"))
	assert.Equal(t, other.runs.Load(), int64(0))
}

// Guards against a caller of a whole answer getting half of it, or an error that another endpoint could have spared it.
func TestWholeAnswerStartsAgainElsewhere(t *testing.T) {
	dying, other := newScriptedEndpoint(t), newScriptedEndpoint(t)
	dying.generate = func(w http.ResponseWriter, _ *http.Request) {
		writeParts(w, 0, 4, false)
		breakConnection()
	}
	s := newSite(t, dying, other)
	got := s.do(t, http.MethodPost, chatPath, wholeBody)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.verdict, "ran")
	assert.Assert(t, cmp.Contains(got.body, `"content":"`+strings.NewReplacer("<", `\u003c`, ">", `\u003e`).Replace(wholeText)))
	assert.Equal(t, other.runs.Load(), int64(1))
}

// Guards against an answer without its end reason or terminal mark being passed on as whole.
func TestAnswerWithoutEndIsNotWhole(t *testing.T) {
	cut := newScriptedEndpoint(t)
	cut.generate = func(w http.ResponseWriter, _ *http.Request) {
		writeParts(w, 0, 4, true)
	}
	s := newSite(t, cut)
	got := s.do(t, http.MethodPost, chatPath, wholeBody)
	assert.Equal(t, got.verdict, "may-have-run")
	assert.Assert(t, got.status >= http.StatusInternalServerError)
}

// Guards against a grant that lapsed being used: by then the endpoint may have another owner.
func TestLapsedGrantIsNotUsed(t *testing.T) {
	e := newScriptedEndpoint(t)
	s := newSite(t, e)
	s.placer.startWithin = time.Millisecond
	s.placer.delay = 10 * time.Millisecond
	got := s.do(t, http.MethodPost, chatPath, wholeBody)
	assert.Equal(t, got.verdict, "not-run")
	assert.Equal(t, got.header.Get("Retry-After"), "1")
	assert.Equal(t, e.runs.Load(), int64(0))
	for _, r := range s.placer.ended() {
		assert.Equal(t, r.Event, message.GrantUnused)
	}
}

// Guards against a refusal by one endpoint reaching the caller while another endpoint is free.
func TestRefusedRequestIsPlacedElsewhere(t *testing.T) {
	leaving, other := newScriptedEndpoint(t), newScriptedEndpoint(t)
	leaving.generate = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engine.HeaderRefused, engine.RefusedLeaving)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	s := newSite(t, leaving, other)
	got := s.do(t, http.MethodPost, chatPath, streamBody)
	assert.Equal(t, streamText(got.body), wholeText)
	ended := s.placer.ended()
	assert.Equal(t, ended[0].Event, message.GrantRefused)
	assert.Assert(t, ended[0].Leaving)
}

// Guards against generations that go on for a caller who hung up.
func TestHangUpCancelsTheGeneration(t *testing.T) {
	e := newScriptedEndpoint(t)
	e.generate = func(w http.ResponseWriter, r *http.Request) {
		writeParts(w, 0, 4, false)
		<-r.Context().Done()
	}
	e.resume = func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }
	s := newSite(t, e)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+chatPath, strings.NewReader(streamBody))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	cancel()
	<-e.cancels
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.server.Open() > 0 {
			return poll.Continue("request still open")
		}
		return poll.Success()
	})
	assert.Equal(t, s.placer.ended()[0].Event, message.GrantCancelled)
}

// Guards against a request that crashes endpoints taking down more than two of them, however often its caller sends it.
func TestCrashingRequestLosesAtMostTwoEndpoints(t *testing.T) {
	var endpoints []*scriptedEndpoint
	for range 5 {
		e := newScriptedEndpoint(t)
		e.generate = func(http.ResponseWriter, *http.Request) { breakConnection() }
		endpoints = append(endpoints, e)
	}
	s := newSite(t, endpoints...)
	var last answer
	for range 5 {
		last = s.do(t, http.MethodPost, chatPath, wholeBody)
	}
	assert.Assert(t, cmp.Contains(last.body, `"quarantined"`))
	runs := int64(0)
	for _, e := range endpoints {
		runs += e.runs.Load()
	}
	assert.Equal(t, runs, int64(2))
	other := s.do(t, http.MethodGet, "/v1/models", "")
	assert.Equal(t, other.status, http.StatusOK)
}
