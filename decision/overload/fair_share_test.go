package overload

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a workspace that takes the share of others, against one that is held back although others leave their share, and
// against limits while nothing waits.
func TestFairShareIsMaxMin(t *testing.T) {
	usage := []WorkspaceUsage{{Workspace: "small", Used: 100}, {Workspace: "flood", Used: 800, Waiting: 5000}, {Workspace: "mid", Used: 300, Waiting: 400}}
	s := NewFairShare(usage)
	// 1,200 in use: 100 for small, and the rest for the two others in equal parts.
	assert.Assert(t, s.Exceeds("flood") && !s.Exceeds("mid") && !s.Exceeds("small") && !s.Exceeds("unknown"))
	assert.Equal(t, s.Of("flood"), 800.0/550)
	for i := range usage {
		usage[i].Waiting = 0
	}
	assert.Assert(t, !NewFairShare(usage).Exceeds("flood"))
	assert.Assert(t, !NewFairShare([]WorkspaceUsage{{Workspace: "only", Waiting: 10}}).Exceeds("only"))
}
