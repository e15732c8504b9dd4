package limits

import (
	"context"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/config"
)

func snapshot(concurrency int) *config.Snapshot {
	return config.NewSnapshot(1, []*config.Object{{
		Ref:       config.Ref{Kind: config.KindWorkspace, Name: "w"},
		Workspace: &config.Workspace{MaxConcurrency: concurrency},
	}})
}

// Guards against a node that grants the full limit of a workspace while other nodes serve the workspace too, against a
// changed number of nodes that has no effect, and against a task that outlives its context.
func TestLimiterUsesItsShare(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(t.Context())
	current, nodes := latest.New(snapshot(8)), latest.New(4)
	l := NewLimiter(current, nodes)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	admitted := func() int {
		n := 0
		for {
			d, err := l.Admit(ctx, "w", 1)
			assert.NilError(t, err)
			if !d.Admitted {
				assert.Equal(t, d.Limit, "max_concurrency")
				return n
			}
			n++
		}
	}
	assert.Equal(t, admitted(), 2, "a quarter of 8")
	assert.NilError(t, l.Release(ctx, "w", 10))
	assert.Equal(t, admitted(), 1)
	nodes.Publish(1)
	for admitted() == 0 {
		// The task applies the new number of nodes between two messages.
	}
	cancel()
	<-done
}
