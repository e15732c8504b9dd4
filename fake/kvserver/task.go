package kvserver

import (
	"time"

	"golang.org/x/time/rate"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/gen/etcdserverpb"
)

// task is the state that the goroutine of Run owns.
type task struct {
	options  Options
	store    *memory.Store
	watchers map[*watcher]struct{}
	writes   *rate.Limiter
	reads    *rate.Limiter
	counters Counters

	outage Outage
	delay  time.Duration
	// losses is the number of writes whose answers are still to be lost, in the way of loss.
	losses int
	loss   Loss
}

func newTask(o Options) *task {
	return &task{
		options: o, store: memory.NewStore(), watchers: map[*watcher]struct{}{}, counters: newCounters(),
		writes: rate.NewLimiter(rate.Limit(o.WritesPerSecond), burst(o.WritesPerSecond)),
		reads:  rate.NewLimiter(rate.Limit(o.ReadsPerSecond), burst(o.ReadsPerSecond)),
	}
}

// burst returns a tenth of a second's calls, at least one.
func burst(perSecond float64) int { return max(int(perSecond/10), 1) }

// header returns the header of an answer.
func (t *task) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: 1, MemberId: 1, RaftTerm: 1, Revision: t.store.Revision()}
}

// expire revokes lapsed leases. During an outage leases do not lapse, since nobody can decide that they have.
func (t *task) expire(now time.Time) {
	if t.outage != OutageNone {
		return
	}
	for _, batch := range t.store.Expire(now) {
		t.publish(batch)
	}
}

// publish sends the events of a batch to the watchers.
func (t *task) publish(batch backing.WatchBatch) {
	if len(batch.Events) == 0 {
		return
	}
	for w := range t.watchers {
		t.offer(w, batch)
	}
}

// offer sends what concerns one watcher. A watcher that does not read loses its stream.
func (t *task) offer(w *watcher, batch backing.WatchBatch) {
	response := w.response(t.header(), batch)
	if response == nil {
		return
	}
	select {
	case w.stream.out <- response:
	default:
		t.breakStream(w.stream)
	}
}

// breakWatches ends all streams that have a watch.
func (t *task) breakWatches() {
	for w := range t.watchers {
		t.breakStream(w.stream)
	}
}

// breakStream ends a stream and its watches.
func (t *task) breakStream(s *watchStream) {
	found := false
	for w := range t.watchers {
		if w.stream == s {
			found = true
			delete(t.watchers, w)
		}
	}
	if found {
		s.end()
	}
	t.countWatches()
}

// countWatches takes the calls of open watches off the reads.
func (t *task) countWatches() {
	open := len(t.watchers)
	t.counters.OpenWatches = open
	t.counters.PeakWatches = max(t.counters.PeakWatches, open)
	t.reads.SetLimit(rate.Limit(max(t.options.ReadsPerSecond-float64(open), 0)))
}

// takeLoss returns what happens to the answer of a write that was just applied.
func (t *task) takeLoss() Loss {
	if t.losses == 0 {
		return lossNone
	}
	t.losses--
	return t.loss
}
