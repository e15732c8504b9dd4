package settings

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const edgeFile = `node: {id: n, data_centre: a}
listen: {callers: "10.0.0.1:1", readiness: "10.0.0.1:2", metrics: "10.0.0.1:3", peers: "10.0.0.1:4"}
store: {address: "10.0.0.2:5"}
limits: {memory_mb: 134}
bounds: {revoke: 5000ms, retry_ratio: 0.2, retry_allowance: 56, retry_window: 10s, cold_overage: 1.5, cold_slack: 5}
stop: {grace: 8s}
`

// Guards against a node that starts with invalid settings, and against an error that does not name the key.
func TestEdgeSettingsAreChecked(t *testing.T) {
	s, err := ParseEdge([]byte(edgeFile))
	assert.NilError(t, err)
	assert.Equal(t, s.Limits.MemoryMB, int64(134))
	for _, bad := range []struct{ from, to, want string }{
		{"memory_mb: 134", "memory_mb: many", "memory_mb"},
		{`, peers: "10.0.0.1:4"`, "", "listen.peers"},
		{"10.0.0.2:5", "store", "store.address"},
		{"5000ms", "0s", "bounds.revoke"},
		{"memory_mb: 134", "memory_mb: 134, cpu_share: -0.1", "limits.cpu_share"},
		{"retry_ratio: 0.2", "retry_ratio: -1", "bounds.retry_ratio"},
		{"grace: 8s", "graze: 8s", "graze"},
	} {
		_, err := ParseEdge([]byte(strings.Replace(edgeFile, bad.from, bad.to, 1)))
		assert.ErrorContains(t, err, bad.want)
	}
}

// Guards against a key in the settings template that ParseEdge rejects.
func TestSettingsTemplateHasKnownKeys(t *testing.T) {
	template, err := os.ReadFile("../../deploy/edge.yaml.tmpl")
	assert.NilError(t, err)
	filled := strings.NewReplacer(
		"{{nodeName|json}}", `"n"`, "{{zone|json}}", `"a"`, "{{region|json}}", `"r"`, "{{listen.frontend|json}}", `"10.0.0.1:1"`,
		"{{listen.readiness|json}}", `"10.0.0.1:2"`, "{{ip}}", "10.0.0.1", "{{internalPorts.0}}", "3", "{{internalPorts.1}}", "4",
		"{{platform.address|json}}", `"10.0.0.2:5"`, "{{limits.memoryMb}}", "134", "{{limits.cpuShare}}", "0.4", "{{limits.cores}}", "1", "{{bounds.revokeMs}}", "5000",
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.retryAllowance}}", "56", "{{bounds.budgetWindowS}}", "10",
		"{{bounds.coldOverage}}", "1.5", "{{bounds.coldSlack}}", "5", "{{bounds.graceS}}", "8",
		"{{#bounds.exposureShare}}\n", "", "{{/bounds.exposureShare}}\n", "", "{{bounds.exposureShare}}", "0.1", "{{bounds.exposureSlack}}", "50",
		"{{bounds.rollbackMs}}", "5000", "{{contracts|json}}", `["base","rollout"]`,
	).Replace(string(template))
	_, err = ParseEdge([]byte(filled))
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(filled, "{{"))
}
