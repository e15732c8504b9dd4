package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/verdict"
)

// losingFleet is a sender whose first answer breaks off after some events, or is lost. The other engines fail every request, also one that
// is to continue from a copy that they do not have.
type losingFleet struct {
	// events is the number of events before the break; -1 if the answer is lost before it begins. interval is the time between them.
	events   int
	interval time.Duration
	// onFirst is called with the endpoint of the first attempt.
	onFirst func(endpoint string)
	// onStop is called with each final move; nil means nothing.
	onStop func(exchange.Move)
	// attempts lists the attempts, with the time since the first one.
	attempts []exchange.Attempt
	times    []time.Time
}

func (f *losingFleet) Send(_ context.Context, _ *exchange.Request, a exchange.Attempt) (*exchange.Answer, error) {
	f.attempts, f.times = append(f.attempts, a), append(f.times, time.Now())
	if len(f.attempts) == 1 && f.onFirst != nil {
		f.onFirst(a.Endpoint)
	}
	if len(f.attempts) == 1 && f.events < 0 {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonEndpointFailed, "connection reset")
	}
	answer := &exchange.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("")), Length: -1}
	if len(f.attempts) > 1 {
		answer.Status = http.StatusInternalServerError
	}
	return answer, nil
}

func (f *losingFleet) Move(_ context.Context, m exchange.Move) exchange.MoveResult {
	if m.Final && f.onStop != nil {
		f.onStop(m)
	}
	return exchange.MoveResult{Outcome: exchange.MoveNoRun}
}

func (*losingFleet) ReleaseCopy(context.Context, string, string) error { return nil }

// serve serves a stream and returns its caller.
func (f *losingFleet) serve(t *testing.T) *recordedCaller {
	t.Helper()
	cluster := newEngineCluster()
	return serveAtEngines(t, cluster, &Server{sender: f, mover: f, newStream: func(io.Reader) exchange.Stream {
		return &numberedStream{events: f.events, interval: f.interval, err: io.ErrUnexpectedEOF}
	}})
}

// Guards against a request that may run once and runs at two engines: the first answer is lost or breaks off before the backup has a copy
// of the run's memory, and the engine of the backup fails the request instead of refusing it.
func TestLostAnswerIsNotRunAtAnEngineWithoutACopy(t *testing.T) {
	for name, f := range map[string]*losingFleet{
		"before the answer":      {events: -1},
		"before the first event": {events: 0},
		"after the first event":  {events: 1, interval: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := f.serve(t)
				assert.Assert(t, f.attempts[0].Backup != "")
				assert.Equal(t, len(f.attempts), 1)
				if f.events <= 0 {
					assert.Equal(t, caller.refusal.Verdict, verdict.MayHaveRun)
				} else {
					assert.Assert(t, caller.aborted)
				}
			})
		})
	}
}

// Guards against a stream that is given up although its backup has had the time to receive a copy.
func TestBrokenStreamContinuesAtItsBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &losingFleet{events: 10, interval: 100 * time.Millisecond}
		f.serve(t)
		assert.Equal(t, len(f.attempts), 2)
		assert.Equal(t, f.attempts[1].Endpoint, f.attempts[0].Backup)
		assert.Equal(t, f.attempts[1].LastEvent, "10")
	})
}

// Guards against a run that is sent to its backup before that can have a copy, because its engine begins to leave early.
func TestYoungRunStaysAtLeavingEngineUntilItsBackupHasACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const firstEvent = 300 * time.Millisecond
		f := &losingFleet{events: 20, interval: firstEvent}
		cluster := newEngineCluster()
		f.onFirst = func(endpoint string) {
			next := engineSnapshot([]string{"a", "b", "c"})
			for i := range next.Endpoints["s"] {
				e := &next.Endpoints["s"][i]
				e.Address, e.Leaving = e.ID, e.ID == endpoint
			}
			time.AfterFunc(100*time.Millisecond, func() { cluster.Publish(movingState(next)) })
		}
		serveAtEngines(t, cluster, &Server{sender: f, mover: f, newStream: func(io.Reader) exchange.Stream {
			return &numberedStream{events: f.events, interval: f.interval, err: io.ErrUnexpectedEOF}
		}})
		assert.Assert(t, len(f.attempts) > 1)
		assert.Equal(t, f.attempts[1].Endpoint, f.attempts[0].Backup)
		wait := f.times[1].Sub(f.times[0])
		assert.Assert(t, wait >= firstEvent+500*time.Millisecond && wait < firstEvent+time.Second, "%v", wait)
	})
}
