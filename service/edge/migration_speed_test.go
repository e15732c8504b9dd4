package edge

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/fleet"
)

// movingFleet is a sender and mover for three engines. The engine of the first attempt leaves 200 ms later, or after leaveAfter, and its
// backup has no free slot until slotFree.
type movingFleet struct {
	leaveAfter time.Duration
	cluster    *latest.Value[*clusterState]
	slotFree   time.Time
	copies     exchange.MoveOutcome
	leavesAt   time.Time
	// movedTo is the endpoint at which the run continued, at movedAt; copyTargets lists the targets of the copies.
	movedTo, backup string
	movedAt         time.Time
	copyTargets     []string
}

func (f *movingFleet) Send(_ context.Context, _ *exchange.Request, a exchange.Attempt) (*exchange.Answer, error) {
	answer := &exchange.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("")), Length: -1}
	if a.CopyAddress == "" {
		leaveAfter := cmp.Or(f.leaveAfter, 200*time.Millisecond)
		f.leavesAt, f.backup = time.Now().Add(leaveAfter), a.Backup
		time.AfterFunc(leaveAfter, func() {
			next := engineSnapshot([]string{"a", "b", "c"})
			for i := range next.Endpoints["s"] {
				e := &next.Endpoints["s"][i]
				e.Address, e.Leaving = e.ID, e.ID == a.Endpoint
			}
			f.cluster.Publish(movingState(next))
		})
		return answer, nil
	}
	if a.CopyHandle == "" && time.Now().Before(f.slotFree) {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBusy, "%s has no free slot", a.Endpoint)
	}
	f.movedTo, f.movedAt = a.Endpoint, time.Now()
	return answer, nil
}

func (f *movingFleet) Move(_ context.Context, m exchange.Move) exchange.MoveResult {
	if m.Final {
		return exchange.MoveResult{Outcome: exchange.MoveNoRun}
	}
	f.copyTargets = append(f.copyTargets, m.Target)
	time.Sleep(250 * time.Millisecond)
	return exchange.MoveResult{Outcome: f.copies, Handle: "copy"}
}

func (*movingFleet) ReleaseCopy(context.Context, string, string) error { return nil }

func movingState(s *fleet.Snapshot) *clusterState {
	s.Configuration.Routes = []catalog.Route{{
		Name: "r", Host: "h", PathPrefix: "/", Shares: []catalog.Share{{Service: "s", Weight: 1}}, Streaming: true,
		FirstByteObjective: time.Second, Timeout: 39 * time.Second, MaxAttempts: 1,
	}}
	s.Configuration.Version, s.Configuration.NeedsNoKeys = 1, true
	s.Configuration.Index()
	return &clusterState{Fleet: s}
}

// serveMovingRun serves a stream of 2 s whose engine leaves after 200 ms.
func serveMovingRun(t *testing.T, f *movingFleet) *recordedCaller {
	t.Helper()
	f.cluster = newEngineCluster()
	return serveAtEngines(t, f.cluster, &Server{
		sender: f, mover: f,
		newStream: func(io.Reader) exchange.Stream {
			return &slowStream{raw: "x", pause: 50 * time.Millisecond, events: 40}
		},
	})
}

// Guards against a run that is lost because the engine with its backup has no free slot until the run's engine has left: it must be
// copied elsewhere early enough, and not to the backup.
func TestRunIsCopiedElsewhereWhenItsBackupHasNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &movingFleet{slotFree: time.Now().Add(time.Hour), copies: exchange.MoveDone}
		caller := serveMovingRun(t, f)
		assert.Assert(t, !caller.aborted && caller.refusal == nil && f.backup != "")
		assert.Assert(t, f.movedTo != "" && f.movedTo != f.backup)
		assert.Assert(t, f.movedAt.Sub(f.leavesAt) <= 600*time.Millisecond, "%v", f.movedAt.Sub(f.leavesAt))
		// The later copies are those of the run at its new engine.
		assert.Equal(t, f.copyTargets[0], f.movedTo)
	})
}

// Guards against a run that gives up its backup although no other engine has room for a copy and the backup has a free slot later.
func TestBackupIsTriedAgainWhenNoCopyCanBeMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &movingFleet{slotFree: time.Now().Add(900 * time.Millisecond), copies: exchange.MoveNoRoom}
		caller := serveMovingRun(t, f)
		assert.Assert(t, !caller.aborted && caller.refusal == nil && f.backup != "")
		assert.Equal(t, f.movedTo, f.backup)
		assert.Assert(t, f.movedAt.Sub(f.leavesAt) <= 1500*time.Millisecond, "%v", f.movedAt.Sub(f.leavesAt))
	})
}
