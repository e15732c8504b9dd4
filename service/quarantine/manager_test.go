package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

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

func (p *linkedPeers) Release(ctx context.Context, _ string, f quarantine.Fingerprint) {
	_ = p.home.ApplyRelease(ctx, f)
}

func (p *linkedPeers) Broadcast(ctx context.Context, marks []quarantine.Mark) {
	_ = p.home.Merge(ctx, marks)
	_ = p.other.Merge(ctx, marks)
}

func (p *linkedPeers) Forward([]quarantine.Mark) {}

func (p *linkedPeers) Repeat([]quarantine.Mark) {}

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
	request := []quarantine.Fingerprint{7}
	first := other.Admit(ctx, request)
	assert.Equal(t, first.Standing, quarantine.Clear)
	other.ReportCrash(ctx, first)
	trial := other.Admit(ctx, request)
	assert.Equal(t, trial.Standing, quarantine.Suspect)
	assert.Equal(t, home.Admit(ctx, request).Standing, quarantine.Busy)
	other.Release(ctx, trial)
	trial = home.Admit(ctx, request)
	assert.Equal(t, trial.Standing, quarantine.Suspect)
	home.ReportCrash(ctx, trial)
	// A reservation is answered after the marks that were sent before it.
	assert.Equal(t, home.Reserve(ctx, trial.Marks()[0]), quarantine.Quarantined)
	assert.Equal(t, other.Reserve(ctx, trial.Marks()[0]), quarantine.Quarantined)
	assert.Equal(t, other.Admit(ctx, request).Standing, quarantine.Quarantined)
	cancel()
	<-ended
	<-ended
}

// Guards against callers that are told to come back after the whole length of a quarantine although most of it has passed.
func TestRemainingTimeOfAMarkPasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := NewManager(zaptest.NewLogger(t), NoPeers{})
		go m.Run(ctx)
		request := []quarantine.Fingerprint{8}
		m.ReportCrash(ctx, m.Admit(ctx, request))
		m.ReportCrash(ctx, m.Admit(ctx, request))
		left := func() time.Duration { return m.Assess(request).Marks[0].Remaining }
		before := left()
		time.Sleep(30 * time.Minute)
		synctest.Wait()
		assert.Assert(t, before-left() >= 30*time.Minute-repeatInterval, "%v", left())
		time.Sleep(31 * time.Minute)
		assert.Equal(t, m.Assess(request).Standing, quarantine.Suspect)
		cancel()
	})
}
