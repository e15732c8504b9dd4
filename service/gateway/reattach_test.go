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

// Guards against a second generation for a caller who lost the connection and reattaches, and against parts that are lost or
// duplicated at the reattachment.
func TestCallerReattachesToItsGeneration(t *testing.T) {
	e := newScriptedEndpoint(t)
	e.generate = func(w http.ResponseWriter, r *http.Request) {
		writeParts(w, 0, 4, false)
		<-r.Context().Done()
	}
	e.resume = func(w http.ResponseWriter, _ *http.Request, after int) { writeParts(w, after+1, scriptedParts, true) }
	g := newTestGateway(t, e)
	g.server.options.StallAfter = g.server.options.FirstTokenTimeout
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+chatPath, strings.NewReader(streamBody))
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
		if n, err := g.server.Detached.Count(t.Context()); err != nil || n == 0 {
			return poll.Continue("hang-up not noticed yet")
		}
		return poll.Success()
	})
	rest := g.do(t, http.MethodPost, chatPath, streamBody, "Last-Event-ID", id)
	assert.Equal(t, text+streamText(rest.body), generationText)
	assert.Equal(t, e.runs.Load(), int64(1))
	assert.Equal(t, len(e.cancelledPaths), 0, "a generation must not be cancelled within its resume window")
	ended := g.placer.endReports()
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Event, message.GrantCompleted)
}

// Guards against a caller reading the generation of another workspace by its event id.
func TestForeignEventIDIsRefused(t *testing.T) {
	e := newScriptedEndpoint(t)
	g := newTestGateway(t, e)
	id := newStreamPosition("abc-1", "other", e.address, "n").prefix() + ":3"
	got := g.do(t, http.MethodPost, chatPath, streamBody, "Last-Event-ID", id)
	assert.Equal(t, got.status, http.StatusBadRequest)
	assert.Equal(t, got.verdict, "not-run")
}

// Guards against a generation being cancelled after its caller reattached: the old session notices the hang-up only after the
// take-over and must not register.
func TestReattachBeforeHangUpIsNoticed(t *testing.T) {
	d := NewDetachedSessions()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.Run(ctx)
	_, ok := d.TakeOver(ctx, "g-1")
	assert.Assert(t, !ok)
	assert.Assert(t, !d.register(ctx, "g-1", make(chan takeOverRequest)), "the old session must not register after the take-over")
	assert.Assert(t, d.register(ctx, "g-2", make(chan takeOverRequest)))
}
