package dispatch

import "time"

// RecordFirstEvent records the first event of a run, after which its prompt no longer counts as prefill load.
func (t *Table) RecordFirstEvent(number uint64) {
	r := t.runs[number]
	if r == nil || r.firstEventReceived {
		return
	}
	r.firstEventReceived, t.ownLoadChanged = true, true
	r.endpoint.own.Prefill -= r.prefill
}

// Release ends a run, removes its load and records its outcome for the endpoint.
func (t *Table) Release(now time.Time, number uint64, o Outcome) {
	r := t.runs[number]
	if r == nil {
		return
	}
	delete(t.runs, number)
	t.removeUsage(r)
	t.recordUse(now, r)
	t.ownLoadChanged = true
	e := r.endpoint
	e.advanceUsage(now)
	e.own.InFlight--
	e.own.Tokens -= r.tokens
	if !r.firstEventReceived {
		e.own.Prefill -= r.prefill
	}
	e.recordOutcome(now, o)
	switch o {
	case NotListening:
		e.recordEnd(now)
	case Succeeded, Failed, Refused:
		e.recordAnswer(now, r.placedAt)
	}
	if r.backup != nil {
		r.backup.own.Tokens -= r.copyTokens
	}
}
