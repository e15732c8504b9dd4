package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/verdict"
)

var plainRoute = catalog.Route{Timeout: time.Minute, FirstByteObjective: time.Second, MaxAttempts: 1}

// Guards against requests that are refused because refused connections to crashed endpoints have spent the retry budget, which
// bounds arrivals.
func TestRefusedConnectionsSpareTheRetryBudget(t *testing.T) {
	sender := &failingSender{failures: 2, failure: verdict.New(verdict.NotRun, verdict.ReasonUnreachable, "connection refused")}
	synctest.Test(t, func(t *testing.T) {
		caller := serveRequest(t, plainRoute, sender, nil)
		assert.Equal(t, caller.body, "done")
		assert.Equal(t, sender.sent, 3)
	})
}

// Guards against repeats without a budget after an endpoint has received the request and refused it.
func TestRefusalsOfEndpointsSpendTheRetryBudget(t *testing.T) {
	sender := &failingSender{failures: 1, failure: verdict.New(verdict.NotRun, verdict.ReasonBusy, "full")}
	synctest.Test(t, func(t *testing.T) {
		caller := serveRequest(t, plainRoute, sender, nil)
		assert.Equal(t, sender.sent, 1)
		assert.Equal(t, caller.refusal.Verdict, verdict.NotRun)
	})
}
