package quarantine

import (
	"context"
	"testing"

	"go.uber.org/goleak"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// linkedPeers connects two Managers directly. The home Manager is the home node of every fingerprint.
type linkedPeers struct {
	home, other *Manager
	isHome      bool
}

func (p *linkedPeers) HomeNode(quarantine.Fingerprint) (string, bool) { return "home", !p.isHome }

func (p *linkedPeers) Reserve(ctx context.Context, _ string, m quarantine.Mark) (quarantine.Standing, error) {
	return p.home.Reserve(ctx, m), nil
}

func (p *linkedPeers) ReportRunEnd(ctx context.Context, _ string, f quarantine.Fingerprint, completed bool) {
	_ = p.home.ApplyRunEnd(ctx, f, completed)
}

func (p *linkedPeers) Broadcast(ctx context.Context, m quarantine.Mark) {
	_ = p.home.Merge(ctx, m)
	_ = p.other.Merge(ctx, m)
}

// Guards against two nodes that run one suspect at the same time, and against a node that runs a quarantined request
// because it has not observed the crashes itself.
func TestHomeDecidesForAllNodes(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(t.Context())
	homePeers, otherPeers := &linkedPeers{isHome: true}, &linkedPeers{}
	home, other := NewManager(zaptest.NewLogger(t), homePeers), NewManager(zaptest.NewLogger(t), otherPeers)
	for _, p := range []*linkedPeers{homePeers, otherPeers} {
		p.home, p.other = home, other
	}
	ended := make(chan struct{}, 2)
	for _, m := range []*Manager{home, other} {
		go func() {
			m.Run(ctx)
			ended <- struct{}{}
		}()
	}
	const request = quarantine.Fingerprint(7)
	assert.Equal(t, other.Standing(ctx, request), quarantine.Clear)
	other.ReportCrash(ctx, request, "e1/a")
	assert.Equal(t, other.Standing(ctx, request), quarantine.Suspect)
	assert.Equal(t, home.Standing(ctx, request), quarantine.Busy)
	other.ReportCrash(ctx, request, "e2/a")
	assert.Equal(t, home.Standing(ctx, request), quarantine.Quarantined)
	cancel()
	<-ended
	<-ended
}
