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

// engineSnapshot returns a snapshot with one engine in each data centre. The data centres in out are out of service.
func engineSnapshot(dataCentres []string, out ...string) *fleet.Snapshot {
	s := &fleet.Snapshot{
		Configuration: &catalog.Configuration{Services: map[string]*catalog.Service{"s": {
			Name: "s", Engine: &catalog.Engine{Slots: 8, Capacity: 10_000, SupportsBackups: true, SupportsMoves: true},
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

// placeAt places a request and returns the placement and the channel of departures.
func placeAt(t *testing.T, d *dispatcher, r dispatch.Request) (dispatch.Placement, <-chan departure) {
	t.Helper()
	leaving, reply := make(chan departure, 2), make(chan placeReply, 1)
	r.Service, r.PromptTokens, r.Tokens = "s", 100, 100
	placeMessage{request: r, waitUntil: time.Now(), leaving: leaving, reply: reply}.apply(d)
	answer := <-reply
	assert.Equal(t, answer.refusal, dispatch.Refusal(""))
	return answer.placement, leaving
}

// Guards against a run that continues at an engine whose data centre was taken out of service after a copy of the run's
// memory was placed there.
func TestCopyIsDroppedWhenItsDataCentreGoesOutOfService(t *testing.T) {
	dataCentres := []string{"a", "b"}
	d := newDispatcher(zap.NewNop(), dispatch.Params{RetryWindow: time.Second}, latest.New(&clusterState{}))
	d.applyState(&clusterState{Fleet: engineSnapshot(dataCentres)})
	_, target := placeAt(t, d, dispatch.Request{RequiredEndpoint: "engine-b", CopyPending: true, Resumed: true, ForceRepeat: true})
	run, running := placeAt(t, d, dispatch.Request{RequiredEndpoint: "engine-a", Backup: true})
	assert.Equal(t, run.Backup.ID, "engine-b")
	d.applyState(&clusterState{Fleet: engineSnapshot(dataCentres, "b")})
	assert.Equal(t, len(target), 1)
	assert.Equal(t, len(running), 1)
	assert.Equal(t, <-running, backupLeaving)
	// A run may finish at its own engine although the data centre is out of service.
	d.applyState(&clusterState{Fleet: engineSnapshot(dataCentres, "a")})
	assert.Equal(t, len(running), 0)
}
