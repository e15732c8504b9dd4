package edge

import (
	"net/url"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/fleet"
)

// Guards against a stopping node that refuses streams it can finish, and against one that accepts streams it will cut. All
// nodes may stop at once, so there may be no other node for these streams.
func TestStoppingNodeAcceptsOnlyStreamsItCanFinish(t *testing.T) {
	c := &catalog.Configuration{Version: 1, Routes: []catalog.Route{{
		Name: "r", Host: "h", PathPrefix: "/", Streaming: true, Timeout: time.Minute, FirstByteObjective: 1500 * time.Millisecond,
		Shares: []catalog.Share{{Service: "s", Weight: 1}},
	}}}
	c.Index()
	server := &Server{log: zap.NewNop(), cluster: latest.New(&clusterState{Fleet: &fleet.Snapshot{Configuration: c}})}
	admit := func(tokens int) error {
		r := &exchange.Request{ID: "x", Host: "h", URL: mustParse(t, "/a"), PromptTokens: 100, MaxTokens: 2 * tokens, Received: time.Now()}
		if err := (&session{server: server, request: r}).admit(); err != nil {
			return err
		}
		return nil
	}
	assert.NilError(t, admit(1000))
	deadline := time.Now().Add(7 * time.Second)
	server.stopDeadline.Store(&deadline)
	assert.NilError(t, admit(50))
	refused := verdict.Of(admit(1000))
	assert.Equal(t, refused.Reason, verdict.ReasonStopping)
	assert.Equal(t, refused.Verdict, verdict.NotRun)
	deadline = time.Now().Add(time.Second)
	server.stopDeadline.Store(&deadline)
	assert.Equal(t, verdict.Of(admit(50)).Reason, verdict.ReasonStopping)
}

func mustParse(t *testing.T, path string) *url.URL {
	t.Helper()
	u, err := url.Parse(path)
	assert.NilError(t, err)
	return u
}
