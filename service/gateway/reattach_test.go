package gateway

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"azuredyke.dev/azuredyke/common/message"
)

// Guards against a caller who lost the connection having to start again, and against parts lost or doubled when it comes
// back.
func TestCallerComesBackToItsGeneration(t *testing.T) {
	e := newScriptedEndpoint(t)
	e.generate = func(w http.ResponseWriter, r *http.Request) {
		writeParts(w, 0, 4, false)
		<-r.Context().Done()
	}
	e.resume = func(w http.ResponseWriter, _ *http.Request, after int) { writeParts(w, after+1, scriptedParts, true) }
	s := newSite(t, e)
	s.server.options.StallAfter = s.server.options.FirstTokenTimeout
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+chatPath, strings.NewReader(streamBody))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Azuredyke-Resume-Window", "30")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	id, text := "", ""
	for strings.Count(text, "<") < 4 && lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			id = rest
		}
		text += streamText(lines.Text())
	}
	cancel()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n, err := s.server.Detached.Count(t.Context()); err != nil || n == 0 {
			return poll.Continue("hang-up not noticed yet")
		}
		return poll.Success()
	})
	rest := s.do(t, http.MethodPost, chatPath, streamBody, "Last-Event-ID", id)
	assert.Equal(t, text+streamText(rest.body), wholeText)
	assert.Equal(t, e.runs.Load(), int64(1))
	assert.Equal(t, len(e.cancels), 0, "a generation that a caller may come back to must not be cancelled")
	ended := s.placer.ended()
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Event, message.GrantCompleted)
}

// Guards against one workspace reading the generation of another.
func TestForeignEventIDIsRefused(t *testing.T) {
	e := newScriptedEndpoint(t)
	s := newSite(t, e)
	id := newStreamPosition("abc-1", "other", e.address, "n").prefix() + ":3"
	got := s.do(t, http.MethodPost, chatPath, streamBody, "Last-Event-ID", id)
	assert.Equal(t, got.status, http.StatusBadRequest)
	assert.Equal(t, got.verdict, "not-run")
}

// Guards against a generation being cancelled under a caller who came back before its hang-up was noticed.
func TestEarlyReturnKeepsTheGeneration(t *testing.T) {
	d := NewDetached()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.Run(ctx)
	_, ok := d.TakeOver(ctx, "g-1")
	assert.Assert(t, !ok)
	assert.Assert(t, !d.register(ctx, "g-1", make(chan takeOver)), "the old session must give the generation up")
	assert.Assert(t, d.register(ctx, "g-2", make(chan takeOver)))
}
