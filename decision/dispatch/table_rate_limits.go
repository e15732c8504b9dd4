package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
)

// RecordRateLimit records the limit that an endpoint has stated in the answer to a request that was sent at sentAt, and reports whether
// that changed its limit.
func (t *Table) RecordRateLimit(now, sentAt time.Time, e *catalog.Endpoint, rate float64) bool {
	return t.statementOf(now, e).rateLimit.record(now, sentAt, rate)
}

// RecordNoRateLimit records that an endpoint has stated no limit in the answer to a request that was sent at sentAt, and reports whether
// that ended its limit.
func (t *Table) RecordNoRateLimit(sentAt time.Time, e *catalog.Endpoint) bool {
	return t.knownStatement(e).rateLimit.end(sentAt)
}

// RecordOthersRateLimit records the limit that an endpoint has stated to another node, and reports whether that lowered its limit.
// When it was stated is not known, so a higher one does not count.
func (t *Table) RecordOthersRateLimit(now time.Time, e *catalog.Endpoint, rate float64) bool {
	return t.statementOf(now, e).rateLimit.record(now, time.Time{}, rate)
}

// RecordRateRefusal records that the owner of an endpoint's budget grants this node no request for some time. The request for which it
// was asked has not been sent; if it was a repeat, it no longer counts as one.
func (t *Table) RecordRateRefusal(now time.Time, e *catalog.Endpoint, d time.Duration, repeat bool) {
	l := &t.statementOf(now, e).rateLimit
	if until := now.Add(d); until.After(l.refusedUntil) {
		l.refusedUntil = until
	}
	if repeat {
		t.retryBudget(e.Service).ReturnRepeat(now)
	}
}
