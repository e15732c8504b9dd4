package edge

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/fleet"
)

// engineSnapshot returns a snapshot with an engine in each data centre, of which the given ones are out.
func engineSnapshot(dataCentres []string, out ...string) *fleet.Snapshot {
	s := &fleet.Snapshot{
		Configuration: &catalog.Configuration{Services: map[string]*catalog.Service{"s": {
			Name: "s", Engine: &catalog.Engine{Slots: 8, Capacity: 10_000, Backups: true, Moves: true},
		}}},
		Out: map[string]bool{}, Endpoints: map[string][]fleet.Endpoint{},
	}
	for _, dc := range dataCentres {
		e := fleet.Endpoint{Endpoint: catalog.Endpoint{ID: "engine-" + dc, Service: "s", DataCentre: dc, Slots: 8}}
		s.Endpoints["s"] = append(s.Endpoints["s"], e)
	}
	for _, dc := range out {
		s.Out[dc] = true
	}
	return s
}

// placeAt asks a dispatcher for an endpoint and returns the answer and the channel of departures.
func placeAt(t *testing.T, d *dispatcher, r dispatch.Request) (dispatch.Placed, <-chan departure) {
	t.Helper()
	leaving, reply := make(chan departure, 2), make(chan placeReply, 1)
	r.Service, r.PromptTokens, r.Tokens = "s", 100, 100
	placeMessage{request: r, until: time.Now(), leaving: leaving, reply: reply}.apply(d)
	answer := <-reply
	assert.Equal(t, answer.refusal, dispatch.Refusal(""))
	return answer.placed, leaving
}

// Guards against a run that goes on at an engine whose data centre was taken out after a copy of its memory was placed there.
func TestCopyIsGivenUpWhenItsDataCentreIsTakenOut(t *testing.T) {
	dataCentres := []string{"a", "b"}
	d := newDispatcher(zap.NewNop(), dispatch.Params{RetryWindow: time.Second}, latest.New(&Knowledge{}))
	d.learn(&Knowledge{Fleet: engineSnapshot(dataCentres)})
	_, target := placeAt(t, d, dispatch.Request{Only: "engine-b", Copies: true, Resumed: true, Free: true})
	run, running := placeAt(t, d, dispatch.Request{Only: "engine-a", Backup: true})
	assert.Equal(t, run.Backup.ID, "engine-b")
	d.learn(&Knowledge{Fleet: engineSnapshot(dataCentres, "b")})
	assert.Equal(t, len(target), 1)
	assert.Equal(t, len(running), 1)
	assert.Equal(t, <-running, backupLeaves)
	// A run may end where it is.
	d.learn(&Knowledge{Fleet: engineSnapshot(dataCentres, "a")})
	assert.Equal(t, len(running), 0)
}
