package edge

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/verdict"
)

// handOverLostFleet is a movingFleet that loses its first answer to a run that goes on from a copy. The engine works on that run until a
// final move stops it.
type handOverLostFleet struct {
	movingFleet
	// lostAt is the engine whose answer was lost, and begunAt the time at which it began the run. stoppedAt is the time of the final move.
	lostAt             string
	begunAt, stoppedAt time.Time
	// silence is the time after which the connection breaks.
	silence time.Duration
	// returns counts the later attempts at the same engine.
	returns int
}

func (f *handOverLostFleet) Send(ctx context.Context, r *exchange.Request, a exchange.Attempt) (*exchange.Answer, error) {
	if a.CopyAddress != "" && f.lostAt == "" {
		f.lostAt, f.begunAt = a.Endpoint, time.Now()
		time.Sleep(f.silence)
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonEndpointFailed, "connection reset")
	}
	if a.Endpoint == f.lostAt {
		f.returns++
	}
	return f.movingFleet.Send(ctx, r, a)
}

func (f *handOverLostFleet) Move(ctx context.Context, m exchange.Move) exchange.MoveResult {
	if m.Final && m.Source == f.lostAt && f.stoppedAt.IsZero() {
		f.stoppedAt = time.Now()
		return exchange.MoveResult{Outcome: exchange.MoveDone, Handle: "stopped"}
	}
	return f.movingFleet.Move(ctx, m)
}

// Guards against two engines that work on one request: the answer to a hand-over is lost, the run stays at the engine that leaves, and the
// engine that was to take it over works on it as well, since it does not notice that its connection broke.
func TestEngineOfALostHandOverIsStopped(t *testing.T) {
	for name, test := range map[string]struct {
		silence time.Duration
		copies  exchange.MoveOutcome
	}{
		"reset":                             {0, exchange.MoveDone},
		"reset after a while":               {200 * time.Millisecond, exchange.MoveDone},
		"no other engine takes a copy":      {0, exchange.MoveNoRoom},
		"the same, and reset after a while": {200 * time.Millisecond, exchange.MoveNoRoom},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &handOverLostFleet{movingFleet: movingFleet{copies: test.copies, leaveAfter: 700 * time.Millisecond}, silence: test.silence}
				f.cluster = newEngineCluster()
				caller := serveAtEngines(t, f.cluster, &Server{
					sender: f, mover: f,
					newStream: func(io.Reader) exchange.Stream {
						return &slowStream{raw: "x", pause: 50 * time.Millisecond, events: 60}
					},
				})
				assert.Assert(t, f.lostAt != "" && !f.stoppedAt.IsZero(), "the engine was not told to stop")
				// Both engines may work on the request for 400 ms.
				assert.Assert(t, f.stoppedAt.Sub(f.begunAt) <= 400*time.Millisecond, "%v", f.stoppedAt.Sub(f.begunAt))
				assert.Assert(t, !caller.aborted && caller.refusal == nil)
				assert.Equal(t, f.movedTo != "", test.copies == exchange.MoveDone)
				assert.Assert(t, f.movedTo != f.lostAt)
				assert.Equal(t, f.returns, 0)
			})
		})
	}
}

// Guards against an engine that works for nothing on a request whose answer was lost and that is sent to no other engine.
func TestEngineOfALostAnswerIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopped []string
		f := &losingFleet{events: -1, onStop: func(m exchange.Move) { stopped = append(stopped, m.Source) }}
		f.serve(t)
		synctest.Wait()
		assert.DeepEqual(t, stopped, []string{f.attempts[0].Address})
	})
}
