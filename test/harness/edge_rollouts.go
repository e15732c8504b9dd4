package harness

import (
	"encoding/json"
	"net/http"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/platform/records"
	"azuredyke.dev/azuredyke/service/rollout"
)

// EnableRollouts turns roll-outs on in the settings of a node, with the bounds of the platform.
func EnableRollouts(e *settings.Edge) {
	e.Features.Rollouts = true
	e.Bounds.ExposureShare, e.Bounds.ExposureSlack, e.Bounds.Rollback = 0.1, 50, 5*time.Second
}

// OrderRollout writes the order to move a service to a version.
func (s *EdgeSite) OrderRollout(service, target string, duration time.Duration) {
	s.putJSON(records.OrderPrefix+service, map[string]any{"service": service, "target": target, "durationS": duration.Seconds()})
}

// RemoveRollout removes the order of a service.
func (s *EdgeSite) RemoveRollout(service string) { s.remove(records.OrderPrefix + service) }

// RolloutStatus returns the status of a service's roll-out as operators read it; empty if there is none.
func (s *EdgeSite) RolloutStatus(service string) string {
	e, err := s.KV.Get(s.t.Context(), records.RolloutStatusPrefix+service)
	assert.NilError(s.t, err)
	var status struct{ State, Target string }
	if e.ModRevision == 0 {
		return ""
	}
	assert.NilError(s.t, json.Unmarshal(e.Value, &status))
	return status.State + " " + status.Target
}

// RolloutDecider returns the node that holds the key of the decider; nil if there is none.
func (s *EdgeSite) RolloutDecider() *EdgeNode {
	e, err := s.KV.Get(s.t.Context(), rollout.DeciderKey)
	assert.NilError(s.t, err)
	if e.ModRevision == 0 {
		return nil
	}
	id, err := rollout.DecodeHolder(e.Value)
	assert.NilError(s.t, err)
	for _, n := range s.Nodes {
		if n.Settings.Node.ID == id {
			return n
		}
	}
	return nil
}

// Rollouts returns what a node shows operators of the roll-outs; nil if it does not answer.
func (n *EdgeNode) Rollouts() []rollout.Overview {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.Settings.Listen.Metrics + "/rollouts")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var overviews []rollout.Overview
	if json.NewDecoder(resp.Body).Decode(&overviews) != nil {
		return nil
	}
	return overviews
}
