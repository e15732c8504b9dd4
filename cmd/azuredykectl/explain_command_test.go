package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"azuredyke.dev/azuredyke/common/explanation"
)

// Guards against flags that don't reach the node, and against an output that lacks the reason or shows a feature that is off.
func TestExplainShowsTheAnswerOfTheNode(t *testing.T) {
	answer := explanation.Answer{
		Route: "r", Service: "s", Outcome: explanation.OutcomeSent, Chosen: "a", Note: "random",
		Endpoints: []explanation.Endpoint{
			{ID: "a", DataCentre: "x", Usable: true, Limit: 8, Scores: map[string]float64{"Nearby": 0.1}, Score: 0.1},
			{ID: "b", DataCentre: "y", Reason: "paused", LeftMS: 1500},
		},
	}
	var query string
	h := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.Path + "?" + r.URL.RawQuery
		_ = json.NewEncoder(w).Encode(answer)
	}))
	args := []string{
		"explain", "--node", strings.TrimPrefix(h.server, "http://"), "--host", "h", "--path", "/p", "--key-workspace", "w",
		"--prompt-tokens", "10", "--max-tokens", "20", "--length-hint", "15", "--priority", "0",
	}
	out := h.mustCtl(t, args...)
	assert.Equal(t, query, "/explain?host=h&length_hint=15&max_tokens=20&path=%2Fp&priority=0&prompt_tokens=10&workspace=w")
	for _, text := range []string{"none reported", "off", "paused 1.5s", "Nearby=0.100", "sent to a\n", "note: random"} {
		assert.Assert(t, cmp.Contains(out, text))
	}
	var decoded explanation.Answer
	assert.NilError(t, json.Unmarshal([]byte(h.mustCtl(t, append(args, "--output", "json")...)), &decoded))
	assert.DeepEqual(t, decoded.Endpoints[1], answer.Endpoints[1])
}

// Guards against failures without a plain line, or with another exit code than that of the other commands.
func TestExplainFailuresHaveTheirExitCode(t *testing.T) {
	for status, code := range map[int]int{
		http.StatusNotFound: exitNotFound, http.StatusServiceUnavailable: exitUnavailable, http.StatusBadRequest: exitInvalid,
		http.StatusGatewayTimeout: exitUnavailable, http.StatusTeapot: exitFailed,
	} {
		h := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "the reason", status) }))
		node := strings.TrimPrefix(h.server, "http://")
		r := h.ctl(t, "explain", "--node", node, "--host", "h", "--path", "/p")
		assert.Equal(t, r.code, code)
		assert.Equal(t, r.errOut, "azuredykectl: node "+node+": the reason\n")
	}
	silent := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	r := silent.ctl(t, "explain", "--node", strings.TrimPrefix(silent.server, "http://"), "--host", "h", "--path", "/p", "--timeout", "50ms")
	assert.Equal(t, r.code, exitUnavailable)
	assert.Assert(t, cmp.Contains(r.errOut, "did not answer within 50ms"))
	r = silent.ctl(t, "explain", "--node", "127.0.0.1:1", "--host", "h", "--path", "/p")
	assert.Equal(t, r.code, exitUnavailable)
	assert.Equal(t, strings.Count(r.errOut, "\n"), 1)
	assert.Equal(t, silent.ctl(t, "explain", "--host", "h", "--path", "/p").code, exitUsage)
}
