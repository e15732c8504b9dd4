package router

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

const (
	// maxQueued bounds the items that wait for one owner; senders wait beyond it. It exceeds the open requests of a node.
	maxQueued = 16384
	// maxProgress bounds the grants whose progress waits.
	maxProgress = 16384
	// maxBatch is the number of items in one message.
	maxBatch = 256
	// progressInterval is how often progress alone is sent.
	progressInterval = 250 * time.Millisecond
)

// queue holds what is to be delivered to one owner: the items that must arrive, in order, and the newest progress of each
// grant.
type queue struct {
	items      []item
	progress   map[grantKey]message.GrantReport
	progressAt time.Time
}

func newQueue() *queue { return &queue{progress: map[grantKey]message.GrantReport{}} }

func (q *queue) full() bool { return len(q.items) >= maxQueued }

func (q *queue) empty() bool { return len(q.items) == 0 && len(q.progress) == 0 }

func (q *queue) add(now time.Time, i item) {
	if !i.progress() {
		q.items = append(q.items, i)
		if i.report != nil && i.report.Event.Ends() {
			delete(q.progress, i.key())
		}
		return
	}
	if len(q.progress) == 0 {
		q.progressAt = now.Add(progressInterval)
	}
	if _, ok := q.progress[i.key()]; ok || len(q.progress) < maxProgress {
		q.progress[i.key()] = *i.report
	}
}

// dueIn returns the wait until something should be sent.
func (q *queue) dueIn(now time.Time) (time.Duration, bool) {
	switch {
	case len(q.items) > 0:
		return 0, true
	case len(q.progress) > 0:
		return max(0, q.progressAt.Sub(now)), true
	default:
		return 0, false
	}
}

// batch returns the next message and the number of items in it. Progress is taken out, since it is not sent again.
func (q *queue) batch(now time.Time) (reportBatch, int) {
	var b reportBatch
	n := min(len(q.items), maxBatch)
	for _, i := range q.items[:n] {
		if i.report != nil {
			b.Reports = append(b.Reports, *i.report)
		} else {
			b.Cancels = append(b.Cancels, i.cancel)
		}
	}
	if now.Before(q.progressAt) || n == len(q.items) && n == maxBatch {
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

// delivered removes the first n items.
func (q *queue) delivered(n int) {
	rest := copy(q.items, q.items[n:])
	clear(q.items[rest:])
	q.items = q.items[:rest]
}
