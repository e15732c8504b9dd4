package kvserver

import (
	"time"

	"golang.org/x/time/rate"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/gen/etcdserverpb"
)

// task is the state of a server. It is owned by the goroutine of Run.
type task struct {
	options  Options
	store    *memory.Store
	watchers map[*watcher]struct{}
	writes   *rate.Limiter
	reads    *rate.Limiter
	counters Counters

	outage Outage
	delay  time.Duration
	// answersToLose is the number of further writes whose answers are lost as loss specifies.
	answersToLose int
	loss          AnswerLoss
}

func newTask(o Options) *task {
	return &task{
		options: o, store: memory.NewStore(), watchers: map[*watcher]struct{}{}, counters: newCounters(),
		writes: rate.NewLimiter(rate.Limit(o.WritesPerSecond), burst(o.WritesPerSecond)),
		reads:  rate.NewLimiter(rate.Limit(o.ReadsPerSecond), burst(o.ReadsPerSecond)),
	}
}

// burst returns the burst size for a rate limit: the calls of a tenth of a second, at least one.
func burst(perSecond float64) int { return max(int(perSecond/10), 1) }

// header returns a response header with the current revision.
func (t *task) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: 1, MemberId: 1, RaftTerm: 1, Revision: t.store.Revision()}
}

// expire revokes expired leases. Leases do not expire during an outage, since a cluster without a leader cannot revoke
// them.
func (t *task) expire(now time.Time) {
	if t.outage != OutageNone {
		return
	}
	for _, batch := range t.store.Expire(now) {
		t.publish(batch)
	}
}

// publish sends the events of a batch to all watchers.
func (t *task) publish(batch backing.WatchBatch) {
	if len(batch.Events) == 0 {
		return
	}
	for w := range t.watchers {
		t.sendEvents(w, batch)
	}
}

// sendEvents sends the events of a batch that match a watcher. It aborts the watcher's stream if the stream's buffer is
// full.
func (t *task) sendEvents(w *watcher, batch backing.WatchBatch) {
	response := w.response(t.header(), batch)
	if response == nil {
		return
	}
	select {
	case w.stream.out <- response:
	default:
		t.abortStream(w.stream)
	}
}

// abortWatches aborts all streams that have a watch.
func (t *task) abortWatches() {
	for w := range t.watchers {
		t.abortStream(w.stream)
	}
}

// abortStream removes the watches of a stream and aborts the stream if it had any.
func (t *task) abortStream(s *watchStream) {
	found := false
	for w := range t.watchers {
		if w.stream == s {
			found = true
			delete(t.watchers, w)
		}
	}
	if found {
		s.abort()
	}
	t.updateReadLimit()
}

// updateReadLimit counts the open watches and reduces the read limit by one call per second for each of them.
func (t *task) updateReadLimit() {
	open := len(t.watchers)
	t.counters.OpenWatches = open
	t.counters.PeakWatches = max(t.counters.PeakWatches, open)
	t.reads.SetLimit(rate.Limit(max(t.options.ReadsPerSecond-float64(open), 0)))
}

// takeLoss returns the loss for the answer to a write that was just applied, and counts it.
func (t *task) takeLoss() AnswerLoss {
	if t.answersToLose == 0 {
		return answerLossNone
	}
	t.answersToLose--
	return t.loss
}
