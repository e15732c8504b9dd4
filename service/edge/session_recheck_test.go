package edge

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/bootclock"
	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/fleet"
	decision "azuredyke.dev/azuredyke/decision/quarantine"
	"azuredyke.dev/azuredyke/service/quarantine"
)

// keyedState returns a state in which the key "k" is valid, if valid is set, for the route of service.
func keyedState(service string, valid bool) *clusterState {
	c := &catalog.Configuration{
		Routes: []catalog.Route{{Name: "r", Host: "h", PathPrefix: "/", Timeout: time.Minute, Shares: []catalog.Share{{Service: service, Weight: 1}}}},
		Keys:   map[string]*catalog.Workspace{},
	}
	if valid {
		c.Keys["k"] = &catalog.Workspace{Name: "w"}
	}
	c.Index()
	return &clusterState{Fleet: &fleet.Snapshot{Configuration: c}, ConfirmedAt: bootclock.Now()}
}

// Guards against a request that is sent after a long wait although its key was revoked, its route leads to another service, or its
// fingerprint became a suspect meanwhile.
func TestHeldRequestIsCheckedAgain(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	manager := quarantine.NewManager(zap.NewNop(), quarantine.NoPeers{})
	go manager.Run(ctx)
	cluster := latest.New(keyedState("s", true))
	s := &session{
		server:  &Server{log: zap.NewNop(), cluster: cluster, quarantine: manager, graceEnd: newGraceEnd()},
		request: &exchange.Request{Host: "h", URL: mustParse(t, "/a"), APIKey: "k", Received: time.Now()}, fingerprints: []decision.Fingerprint{2},
	}
	s.server.revokeAfter.Store(int64(time.Minute))
	assert.Assert(t, s.admit() == nil)
	s.admission = manager.Admit(ctx, s.fingerprints)
	check := func(want bool, reason verdict.Reason) {
		t.Helper()
		unchanged, err := s.recheck()
		assert.Equal(t, unchanged, want)
		if reason == "" {
			assert.NilError(t, err)
		} else {
			assert.Equal(t, verdict.Of(err).Reason, reason)
		}
	}
	check(true, "")
	cluster.Publish(keyedState("other", true))
	check(false, "")
	check(true, "")
	manager.ReportCrash(ctx, manager.Admit(ctx, s.fingerprints))
	check(false, "")
	cluster.Publish(keyedState("other", false))
	check(false, verdict.ReasonUnauthorized)
}
