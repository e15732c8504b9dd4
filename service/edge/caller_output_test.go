package edge

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/buffer"
)

// longAnswer is the number of events of a long answer.
const longAnswer = 445

func streamRoute(timeout time.Duration) catalog.Route {
	return catalog.Route{Streaming: true, Timeout: timeout, FirstByteObjective: time.Second, MaxAttempts: 1}
}

// withBuffers gives the server a budget of total bytes for callers.
func withBuffers(t *testing.T, total int64) func(*Server) {
	return func(s *Server) {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		s.buffers = newBufferKeeper(total, tally.NoopScope)
		go s.buffers.run(ctx)
	}
}

// Guards against an engine whose answer stays unread because its caller pauses, and against events that are lost, repeated or
// reordered on the way. Without the feature, the engine is read as far ahead as before.
func TestEngineIsReadWhileItsCallerPauses(t *testing.T) {
	for _, buffered := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			stream := newNumberedStream(longAnswer, time.Millisecond)
			var readInPause atomic.Int64
			caller := newPacedCaller(func(write int) time.Duration {
				if write == 10 {
					time.AfterFunc(3*time.Second, func() { readInPause.Store(stream.sent.Load()) })
					return 4 * time.Second
				}
				return 0
			})
			adjust := func(*Server) {}
			if buffered {
				adjust = withBuffers(t, 1<<20)
			}
			serveCaller(t, streamRoute(time.Minute), &failingSender{}, stream, caller, adjust)
			assert.Assert(t, !caller.aborted)
			assert.Equal(t, caller.body, numberedBody(longAnswer))
			if buffered {
				assert.Equal(t, readInPause.Load(), int64(longAnswer))
			} else {
				// Ten events were forwarded, 64 are read ahead and one waits for room.
				assert.Equal(t, readInPause.Load(), int64(10+directReadAhead.events+1))
			}
		})
	}
}

// Guards against a caller that reads nothing and holds its buffer, and against a request that ends before its writer.
func TestCallerThatReadsNothingIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		caller := newPacedCaller(func(int) time.Duration { return time.Hour })
		var keeper *bufferKeeper
		ended := serveCaller(t, streamRoute(time.Minute), &failingSender{}, newNumberedStream(longAnswer, time.Millisecond), caller,
			withBuffers(t, 1<<20), func(s *Server) { keeper = s.buffers })
		assert.Assert(t, caller.aborted)
		assert.Equal(t, ended.Sub(start), time.Millisecond+callerTimeout)
		synctest.Wait()
		assert.Equal(t, keeper.budget.Granted(), int64(0))
	})
}

// Guards against a deadline that a blocked write delays, and against a cut answer that looks complete.
func TestDeadlineInterruptsBlockedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		caller := newPacedCaller(func(int) time.Duration { return 4 * time.Second })
		ended := serveCaller(t, streamRoute(time.Second), &failingSender{}, newNumberedStream(longAnswer, 10*time.Millisecond), caller, withBuffers(t, 1<<20))
		assert.Assert(t, caller.aborted)
		assert.Equal(t, caller.writes, 0)
		assert.Equal(t, ended.Sub(start), time.Second+unblockTime)
	})
}

// Guards against an answer that is cut at the deadline although its run has ended well, and against one that is delivered forever.
func TestCompleteRunIsDeliveredLate(t *testing.T) {
	const events = 30
	for pause, complete := range map[time.Duration]bool{200 * time.Millisecond: true, 2 * time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			caller := newPacedCaller(func(int) time.Duration { return pause })
			stream := newNumberedStream(events, time.Millisecond)
			ended := serveCaller(t, streamRoute(time.Second), &failingSender{}, stream, caller, withBuffers(t, 1<<20))
			assert.Equal(t, caller.aborted, !complete)
			assert.Equal(t, stream.endedAt.Sub(start), events*time.Millisecond)
			if complete {
				assert.Equal(t, caller.body, numberedBody(events))
			} else {
				assert.Equal(t, ended.Sub(start), time.Second+maxLateDelivery+unblockTime)
			}
		})
	}
}

// Guards against a stopping node that cuts an answer whose run has ended before the end of the grace period, and against one that
// goes on after it, before and after the deadline.
func TestStoppingNodeDeliversBufferedEvents(t *testing.T) {
	const events = 30
	for name, test := range map[string]struct {
		timeout, grace time.Duration
		complete       bool
	}{
		"long grace period":               {time.Minute, 8 * time.Second, true},
		"short grace period":              {time.Minute, 2 * time.Second, false},
		"after the deadline, long grace":  {time.Second, 8 * time.Second, true},
		"after the deadline, short grace": {time.Second, 2 * time.Second, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			caller := newPacedCaller(func(int) time.Duration { return 200 * time.Millisecond })
			ended := serveCaller(t, streamRoute(test.timeout), &failingSender{}, newNumberedStream(events, time.Millisecond), caller,
				withBuffers(t, 1<<20), func(s *Server) {
					time.AfterFunc(500*time.Millisecond, func() { s.graceEnd.set(start.Add(test.grace)) })
				})
			assert.Equal(t, caller.aborted, !test.complete, name)
			if !test.complete {
				assert.Equal(t, ended.Sub(start), test.grace+unblockTime, name)
			}
		})
	}
}

// Guards against events that are dropped because the stream breaks while the caller has not read them, and against a broken stream
// that looks complete.
func TestBufferedEventsPrecedeTheCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := newNumberedStream(30, time.Millisecond)
		stream.err = io.ErrUnexpectedEOF
		caller := newPacedCaller(func(int) time.Duration { return 100 * time.Millisecond })
		serveCaller(t, streamRoute(time.Minute), &failingSender{}, stream, caller, withBuffers(t, 1<<20))
		assert.Assert(t, caller.aborted)
		assert.Equal(t, caller.body, numberedBody(30))
	})
}

// Guards against a stream that stops for good, or buffers without a bound, when the budget is spent.
func TestStreamWithoutShareGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := newNumberedStream(longAnswer, time.Millisecond)
		most := 0
		caller := newPacedCaller(nil)
		caller.pace = func(write int) time.Duration {
			most = max(most, stream.read()-write+1)
			return 20 * time.Millisecond
		}
		serveCaller(t, streamRoute(time.Minute), &failingSender{}, stream, caller, withBuffers(t, 0))
		assert.Equal(t, caller.body, numberedBody(longAnswer))
		// freeBytes and one event, the reader's bound and the event that it has read.
		assert.Assert(t, most <= freeBytes/400+bufferedReadAhead.events+3, "%d", most)
	})
}

// Guards against grants that streams and keeper count differently, when reports and limits cross, and against a spent budget.
func TestSharesAgreeWithTheirKeeper(t *testing.T) {
	const streams, total = 40, 40 * 40 << 10
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			server := &Server{}
			withBuffers(t, total)(server)
			random := rand.New(rand.NewPCG(seed, 2))
			outputs, buffered := make([]*callerOutput, streams), make([]int64, streams)
			for i := range outputs {
				outputs[i] = server.buffers.newOutput(nil)
			}
			for range 20_000 {
				i := random.IntN(streams)
				share := outputs[i].share
				// A stream that is busy reads its limit only after its next reports.
				if len(share.limits) > 0 && random.IntN(6) == 0 {
					share.apply(t.Context(), <-share.limits, buffered[i])
				}
				switch {
				case random.IntN(3) == 0:
					buffered[i] = random.Int64N(buffered[i] + 1)
				case buffered[i] < share.allowed():
					buffered[i] += random.Int64N(6000)
				}
				share.adjust(t.Context(), buffered[i])
				if random.IntN(20) == 0 {
					synctest.Wait()
					var held int64
					for _, o := range outputs {
						held += o.share.granted
					}
					granted := server.buffers.budget.Granted()
					assert.Assert(t, held <= granted && granted <= total, "seed %d", seed)
				}
			}
			var sum int64
			for settled := false; !settled; {
				settled, sum = true, 0
				for i, o := range outputs {
					synctest.Wait()
					select {
					case l := <-o.share.limits:
						settled = false
						o.share.apply(t.Context(), l, buffered[i])
					default:
					}
					sum += o.share.granted
				}
			}
			assert.Equal(t, sum, server.buffers.budget.Granted(), "seed %d", seed)
			for _, o := range outputs {
				o.stop(t.Context())
			}
			synctest.Wait()
			assert.Equal(t, server.buffers.budget.Granted(), int64(0), "seed %d", seed)
		})
	}
}

// Guards against a shortage that stops a stream other than the one that buffers most: two callers pause, and a third needs room.
func TestStreamThatBuffersMostStopsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 8 * buffer.Floor
		server := &Server{}
		withBuffers(t, total)(server)
		sizes := []int64{4 * buffer.Floor, buffer.Floor + bufferStep, 2 * buffer.Floor}
		var shares []*bufferShare
		for _, size := range sizes {
			share := server.buffers.newOutput(nil).share
			shares = append(shares, share)
			for buffered := int64(0); buffered < size; buffered += 512 {
				share.adjust(t.Context(), buffered)
				synctest.Wait()
				select {
				case l := <-share.limits:
					share.apply(t.Context(), l, buffered)
				default:
				}
			}
		}
		l := <-shares[0].limits
		assert.Assert(t, shares[0].apply(t.Context(), l, sizes[0]))
		assert.Assert(t, shares[0].allowed() < sizes[0])
		assert.Equal(t, len(shares[1].limits), 0)
		for _, s := range shares {
			s.giveBack(t.Context())
		}
	})
}
