package router

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

const (
	// maxQueued bounds the queued deliveries to one owner. When the queue is full, callers of Report wait. The bound exceeds
	// the number of open requests of a node.
	maxQueued = 16384
	// maxProgress bounds the grants with a queued progress report.
	maxProgress = 16384
	// maxBatch bounds the deliveries in one message, progress reports not counted.
	maxBatch = 256
	// progressInterval is the interval of messages that carry progress reports only.
	progressInterval = 250 * time.Millisecond
)

// queue holds the deliveries to one owner: those that must arrive, in order, and the newest progress report of each grant.
type queue struct {
	deliveries  []delivery
	progress    map[grantKey]message.GrantReport
	progressDue time.Time
}

func newQueue() *queue { return &queue{progress: map[grantKey]message.GrantReport{}} }

func (q *queue) full() bool { return len(q.deliveries) >= maxQueued }

func (q *queue) empty() bool { return len(q.deliveries) == 0 && len(q.progress) == 0 }

func (q *queue) add(now time.Time, d delivery) {
	if !d.isProgress() {
		q.deliveries = append(q.deliveries, d)
		if d.report != nil && d.report.Event.Ends() {
			delete(q.progress, d.key())
		}
		return
	}
	if len(q.progress) == 0 {
		q.progressDue = now.Add(progressInterval)
	}
	if _, ok := q.progress[d.key()]; ok || len(q.progress) < maxProgress {
		q.progress[d.key()] = *d.report
	}
}

// dueIn returns the time until the next batch is due, and false if the queue is empty.
func (q *queue) dueIn(now time.Time) (time.Duration, bool) {
	switch {
	case len(q.deliveries) > 0:
		return 0, true
	case len(q.progress) > 0:
		return max(0, q.progressDue.Sub(now)), true
	default:
		return 0, false
	}
}

// nextBatch returns the next message and the number of queued deliveries in it. These deliveries stay in the queue until
// removeDelivered. Progress reports are removed at once, since they are not sent again.
func (q *queue) nextBatch(now time.Time) (reportBatch, int) {
	var b reportBatch
	n := min(len(q.deliveries), maxBatch)
	for _, d := range q.deliveries[:n] {
		if d.report != nil {
			b.Reports = append(b.Reports, *d.report)
		} else {
			b.Cancels = append(b.Cancels, d.cancel)
		}
	}
	if now.Before(q.progressDue) || n == len(q.deliveries) && n == maxBatch {
		return b, n
	}
	for key, report := range q.progress {
		if len(b.Reports) >= 2*maxBatch {
			break
		}
		b.Reports = append(b.Reports, report)
		delete(q.progress, key)
	}
	return b, n
}

// removeDelivered removes the first n deliveries.
func (q *queue) removeDelivered(n int) {
	rest := copy(q.deliveries, q.deliveries[n:])
	clear(q.deliveries[rest:])
	q.deliveries = q.deliveries[:rest]
}
