package edge

import (
	"context"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/buffer"
)

// bufferKeeperCapacity bounds the queued reports. A stream blocks while the queue is full.
const bufferKeeperCapacity = 1024

// bufferKeeper is the task that owns the budget of the events that callers have not read.
type bufferKeeper struct {
	budget   *buffer.Budget
	messages mailbox.Mailbox[bufferReport]
	// latest holds the last report of each stream with a share.
	latest map[uint64]bufferReport
	// streams numbers the streams.
	streams atomic.Uint64

	buffered  tally.Gauge
	overFloor tally.Gauge
}

// newBufferKeeper returns the task for a budget of total bytes. The caller must call run.
func newBufferKeeper(total int64, scope tally.Scope) *bufferKeeper {
	return &bufferKeeper{
		budget: buffer.NewBudget(total), messages: mailbox.New[bufferReport](bufferKeeperCapacity), latest: map[uint64]bufferReport{},
		buffered: scope.Gauge("buffered_bytes"), overFloor: scope.Gauge("buffered_streams_over_floor"),
	}
}

// run handles reports until ctx ends.
func (k *bufferKeeper) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-k.messages.Receive():
			k.apply(r)
		}
	}
}

func (k *bufferKeeper) apply(r bufferReport) {
	k.latest[r.stream] = r
	if r.keep == 0 && r.want == 0 {
		delete(k.latest, r.stream)
	}
	for _, g := range k.budget.Report(r.stream, r.keep, r.want) {
		last := k.latest[g.Stream]
		// The stream needs only the newest limit, and no other task sends on the channel.
		select {
		case <-last.limits:
		default:
		}
		last.limits <- bufferLimit{sequence: last.sequence, bytes: g.Bytes}
	}
	k.buffered.Update(float64(k.budget.Granted()))
	k.overFloor.Update(float64(k.budget.OverFloor()))
}

// newOutput returns the output of one stream; nil if there is no keeper and so no buffer.
func (k *bufferKeeper) newOutput(caller exchange.Caller) *callerOutput {
	if k == nil {
		return nil
	}
	share := &bufferShare{stream: k.streams.Add(1), keeper: k.messages, limits: make(chan bufferLimit, 1)}
	return &callerOutput{caller: caller, share: share}
}
