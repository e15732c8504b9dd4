package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/bootclock"
	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/explanation"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/fleet"
)

// getExplanation asks a node with two engines, one of which is in a data centre that is out.
func getExplanation(t *testing.T, query string, change func(*catalog.Configuration)) (int, string, explanation.Answer) {
	t.Helper()
	snapshot := engineSnapshot([]string{"a", "b"}, "b")
	c := snapshot.Configuration
	c.Version, c.Keys = 9, map[string]*catalog.Workspace{"k": {Name: "w", Priority: 4, HasPriority: true}}
	c.Routes = []catalog.Route{{
		Name: "r", Host: "h", PathPrefix: "/", Priority: 1, FirstByteObjective: time.Second, Shares: []catalog.Share{{Service: "s", Weight: 1}},
	}}
	if change != nil {
		change(c)
	}
	c.Index()
	state := &clusterState{Fleet: snapshot, Revision: 12, ConfirmedAt: bootclock.Now()}
	if c.Version == 0 {
		state.Fleet = &fleet.Snapshot{}
	}
	cluster := latest.New(state)
	d := newDispatcher(zap.NewNop(), dispatch.Params{DataCentre: "a", RetryWindow: time.Second}, cluster)
	go d.run(t.Context())
	server := &Server{cluster: cluster, placer: placer{messages: d.messages}}
	server.revokeAfter.Store(int64(time.Minute))
	w := httptest.NewRecorder()
	newExplainer(server).ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/explain?"+query, nil))
	var answer explanation.Answer
	if w.Code == http.StatusOK {
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &answer))
	}
	assert.Equal(t, len(d.ownLoads.Load()), 0)
	return w.Code, strings.TrimSpace(w.Body.String()), answer
}

// Guards against an answer that lacks an input of the choice, or names another endpoint than the one that may be used.
func TestExplainerAnswersWithInputsAndChoice(t *testing.T) {
	status, _, a := getExplanation(t, "host=h&path=/x&prompt_tokens=100&max_tokens=50&workspace=w", nil)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, a.Route+a.Service+a.Outcome+a.Chosen, "rs"+explanation.OutcomeSent+"engine-a")
	assert.Equal(t, a.ConfigurationVersion, int64(9))
	assert.Equal(t, a.Revision, int64(12))
	assert.Equal(t, a.Nodes, 1)
	assert.Equal(t, a.Priority, 4)
	assert.Assert(t, a.OthersLoadAgeMS == nil && !a.OrderedAdmission && !a.EndpointSpeed && a.Note != "")
	assert.Equal(t, len(a.Endpoints), 2)
	assert.Assert(t, a.Endpoints[0].Usable && a.Endpoints[0].Scores["ExpectedMemory"] > 0)
	assert.Equal(t, a.Endpoints[0].MemoryLimit, 10_000)
	assert.Equal(t, a.Endpoints[1].Reason, string(dispatch.DataCentreOut))
	_, _, a = getExplanation(t, "host=h&path=/x&priority=7", func(c *catalog.Configuration) { clear(c.Services) })
	assert.Equal(t, a.Outcome+" "+a.Reason, "waits no_endpoint")
	assert.Equal(t, a.Priority, 7)
}

// Guards against an unclear answer to a question that has no explanation.
func TestExplainerRefusesWithOneLine(t *testing.T) {
	for _, c := range []struct {
		query, message string
		status         int
		change         func(*catalog.Configuration)
	}{
		{query: "host=other&path=/x", status: http.StatusNotFound, message: "no route for other /x in configuration version 9"},
		{query: "host=h&path=/x&workspace=v", status: http.StatusNotFound, message: "no workspace v with a key in configuration version 9"},
		{query: "host=h&path=/x&priority=-1", status: http.StatusBadRequest, message: "priority must be a number that is not negative"},
		{
			query: "host=h&path=/x", status: http.StatusServiceUnavailable, message: "no configuration has been read",
			change: func(c *catalog.Configuration) { c.Version = 0 },
		},
	} {
		status, body, _ := getExplanation(t, c.query, c.change)
		assert.Equal(t, status, c.status)
		assert.Equal(t, body, c.message)
	}
}

// Guards against several explanations that together exceed the memory of the node, and against one that waits for the dispatcher.
func TestExplainerHandlesOneRequestAtATime(t *testing.T) {
	e := newExplainer(&Server{})
	e.busy <- struct{}{}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/explain", nil))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, strings.TrimSpace(w.Body.String()), "the node is explaining another request")
}

// Guards against a request that is shown as sent although the node refuses keys, and against a question without an answer.
func TestExplainerWithoutConfirmationOrDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &catalog.Configuration{Version: 9, Routes: []catalog.Route{{Name: "r", Host: "h", PathPrefix: "/"}}}
		c.Index()
		cluster := latest.New(&clusterState{Fleet: &fleet.Snapshot{Configuration: c}})
		d := newDispatcher(zap.NewNop(), dispatch.Params{RetryWindow: time.Second}, cluster)
		e := newExplainer(&Server{cluster: cluster, placer: placer{messages: d.messages}})
		get := func() *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/explain?host=h&path=/", nil))
			return w
		}
		w := get()
		assert.Equal(t, w.Code, http.StatusGatewayTimeout)
		assert.Equal(t, strings.TrimSpace(w.Body.String()), "the dispatcher did not answer within 2s")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.run(ctx)
		var a explanation.Answer
		assert.NilError(t, json.Unmarshal(get().Body.Bytes(), &a))
		assert.Equal(t, a.Outcome+" "+a.Reason, "refused configuration_too_old")
	})
}
