package gather

import (
	"maps"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

const (
	// urgentSpacing is the least time between two updates. A prompt takes some 200 ms or more to compute, and other nodes must
	// know of it well before its end.
	urgentSpacing = 15 * time.Millisecond
	// changeSpacing is the time after which changes that are not urgent are sent.
	changeSpacing = 50 * time.Millisecond
	// quietSpacing is the time after which an update is sent although nothing has changed, so that receivers know that the
	// sender lives; it is below the silence that they bear.
	quietSpacing = 150 * time.Millisecond
	// fullInterval is the time between two full updates, which make up for lost ones.
	fullInterval = time.Second
)

// outbox knows what has changed since the last update, and when the next one is due.
type outbox struct {
	epoch, seq uint64
	touched    map[string]struct{}
	urgent     bool
	sentAt     time.Time
	fullAt     time.Time
	full       bool
	// news is set when an update is due for what comes with it.
	news bool
}

func newOutbox(epoch uint64) outbox {
	return outbox{epoch: epoch, touched: map[string]struct{}{}, full: true}
}

// touch notes changes.
func (o *outbox) touch(changes []dispatch.Load) {
	for _, c := range changes {
		o.touched[c.Endpoint] = struct{}{}
		o.urgent = o.urgent || urgent(c)
	}
}

// Refresh makes the next update a full one, for receivers that know nothing yet.
func (o *outbox) Refresh() { o.full = true }

// Announce lets the next update go out soon although no load has changed.
func (o *outbox) Announce() { o.news = true }

// Due returns when the next update is to be sent.
func (o *outbox) Due() time.Time {
	switch {
	case o.urgent:
		return o.sentAt.Add(urgentSpacing)
	case len(o.touched) > 0 || o.full || o.news:
		return o.sentAt.Add(changeSpacing)
	default:
		return o.sentAt.Add(quietSpacing)
	}
}

// next begins an update; nothing is touched afterwards.
func (o *outbox) next(now time.Time) pendingUpdate {
	o.seq++
	full := o.full || now.Sub(o.fullAt) >= fullInterval
	u := pendingUpdate{epoch: o.epoch, seq: o.seq, full: full, touched: slices.Sorted(maps.Keys(o.touched))}
	if full {
		o.fullAt = now
	}
	clear(o.touched)
	o.urgent, o.full, o.news, o.sentAt = false, false, false, now
	return u
}
