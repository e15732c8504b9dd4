package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/decision/prefix"
)

// simulatedRun is a run on a simulated engine.
type simulatedRun struct {
	node             *simulatedNode
	number           uint64
	long             bool
	prompt, tokens   int
	sentAt           time.Time
	lastReport       time.Time
	events, reported int
	lastEvent        time.Time
	first, pause     time.Duration
	chain            prefix.Chain
}

// simulatedEngine computes steps of 7 ms and 0.12 ms per running request, with 112 prompt tokens at 14 per millisecond between steps.
type simulatedEngine struct {
	id       string
	slowdown float64
	// stated returns the slowdown that the engine states; nil if it states none.
	stated   func(e *simulatedEngine, now time.Time) float64
	waiting  []*simulatedRun
	running  []*simulatedRun
	used     int
	freeAt   time.Time
	maxBatch int
	cache    simulatedCache
}

const (
	simulatedSlots  = 24
	simulatedMemory = 26_804
)

// advance computes the steps until now and returns the runs that ended.
func (e *simulatedEngine) advance(now time.Time, slow float64) (ended []*simulatedRun) {
	for e.freeAt.Before(now) {
		e.maxBatch = max(e.maxBatch, len(e.running))
		if len(e.running) == 0 && len(e.waiting) == 0 {
			e.freeAt = now
			return ended
		}
		took := 0.0
		if len(e.waiting) > 0 {
			r := e.waiting[0]
			need := r.prompt + r.tokens
			if r.events < 0 || e.used+need <= simulatedMemory && len(e.running) < simulatedSlots {
				if r.events == 0 {
					r.events, e.used = e.cache.begin(r.chain)-r.prompt, e.used+need
					e.cache.evict(simulatedMemory - e.used)
				}
				chunk := min(112, -r.events)
				r.events += chunk
				took += float64(chunk) / 14
				if r.events == 0 {
					e.waiting, e.running = e.waiting[1:], append(e.running, r)
					e.cache.add(r.chain)
					e.cache.evict(simulatedMemory - e.used)
				}
			}
		}
		if len(e.running) > 0 {
			took += 7 + 0.12*float64(len(e.running)) + 0.004*float64(e.used)/1000
		}
		e.freeAt = e.freeAt.Add(time.Duration(max(took, 0.1) * e.slowdown * slow * float64(time.Millisecond)))
		kept := e.running[:0]
		for _, r := range e.running {
			if e.emit(r) {
				ended = append(ended, r)
				e.used -= r.prompt + r.tokens
				continue
			}
			kept = append(kept, r)
		}
		e.running = kept
	}
	return ended
}

// emit adds one token to a run, which sends an event for every fourth one, and reports whether the run has ended.
func (e *simulatedEngine) emit(r *simulatedRun) bool {
	r.events++
	if r.events%4 == 0 || r.events >= r.tokens {
		at := e.freeAt
		switch {
		case r.lastEvent.IsZero():
			r.first, r.lastReport = at.Sub(r.sentAt), at
			r.node.table.RecordMeasurement(at, r.number, Measurement{FirstEvent: r.first})
			r.node.table.RecordFirstEvent(r.number)
			r.reported = r.events
		default:
			r.pause = max(r.pause, at.Sub(r.lastEvent))
		}
		r.lastEvent = at
		if elapsed := at.Sub(r.lastReport); elapsed >= 500*time.Millisecond {
			r.node.table.RecordMeasurement(at, r.number, Measurement{Events: (r.events - r.reported) / 4, Elapsed: elapsed})
			r.lastReport, r.reported = at, r.events
		}
	}
	return r.events >= r.tokens
}
