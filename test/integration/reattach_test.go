package integration

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/engine"
	"azuredyke.dev/azuredyke/test/harness"
)

// readIDs reads n event ids from a stream, or all of them if n is 0. The second result reports whether the [DONE] event
// arrived.
func readIDs(t *testing.T, body *bufio.Scanner, n int) (ids []string, done bool) {
	t.Helper()
	for (n == 0 || len(ids) < n) && body.Scan() {
		if id, ok := strings.CutPrefix(body.Text(), "id: "); ok {
			ids = append(ids, id)
		}
		done = done || body.Text() == "data: [DONE]"
	}
	return ids, done
}

// Guards against restarting a generation when its caller reconnects through another node, and against parts that are lost or
// duplicated by the reconnect.
func TestStreamResumesAtAnotherNode(t *testing.T) {
	t.Parallel()
	const tokens = 100
	s := harness.Start(t, harness.Options{Nodes: nodesPerSite, Engines: 1, Engine: engine.Options{Tokens: tokens}})
	open := func(ctx context.Context, n *harness.Node, header, value string) *http.Response {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Settings.Listen.Callers+"/v1/chat/completions",
			strings.NewReader(`{"model":"`+harness.Model+`","stream":true,"messages":[{"role":"user","content":"note"}]}`))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+harness.WorkspaceKey)
		req.Header.Set(header, value)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		return resp
	}
	ctx, hangUp := context.WithCancel(requestContext(t))
	resp := open(ctx, s.Nodes[0], "Azuredyke-Resume-Window", "30")
	first, _ := readIDs(t, bufio.NewScanner(resp.Body), 10)
	hangUp()
	_ = resp.Body.Close()
	resp = open(requestContext(t), s.Nodes[1], "Last-Event-ID", first[len(first)-1])
	defer resp.Body.Close()
	rest, done := readIDs(t, bufio.NewScanner(resp.Body), 0)
	assert.Assert(t, done)
	// A resumed stream always carries the usage part in addition to the tokens.
	assert.Equal(t, len(first)+len(rest), tokens+1)
	assert.Assert(t, strings.HasSuffix(rest[0], ":10"), rest[0])
	stats := s.Engines[0].Stats()
	assert.Equal(t, stats.Started, int64(1))
	assert.Equal(t, stats.Cancelled, int64(0))
}
