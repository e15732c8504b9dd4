package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	decision "azuredyke.dev/azuredyke/decision/quarantine"
	"azuredyke.dev/azuredyke/service/quarantine"
)

// recordingQuarantine records the fingerprints for which a standing was requested.
type recordingQuarantine struct {
	Quarantine
	fingerprints chan decision.Fingerprint
}

func (q recordingQuarantine) Admit(ctx context.Context, fingerprints []decision.Fingerprint) quarantine.Admission {
	for _, f := range fingerprints {
		q.fingerprints <- f
	}
	return q.Quarantine.Admit(ctx, fingerprints)
}

// Guards against whole requests that leave the quarantine as early as parts that many requests share.
func TestFingerprintsOfRequestsAreNotShared(t *testing.T) {
	const requests = 10
	g := newTestGateway(t, newScriptedEndpoint(t))
	recorded := make(chan decision.Fingerprint, 2*requests)
	g.server.Quarantine = recordingQuarantine{g.server.Quarantine, recorded}
	for i := range requests {
		g.do(t, http.MethodGet, fmt.Sprintf("/services/orders/stock?item=%d", i), "")
		g.do(t, http.MethodPost, chatPath, fmt.Sprintf(`{"model":"notes","messages":[{"role":"user","content":"%d"}]}`, i))
	}
	seen := map[decision.Fingerprint]bool{}
	for range 2 * requests {
		f := <-recorded
		assert.Assert(t, !f.IsShared())
		seen[f] = true
	}
	assert.Equal(t, len(seen), 2*requests)
}
