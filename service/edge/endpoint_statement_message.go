package edge

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/service/ratelimit"
)

// endpointStatementMessage reports what an endpoint says about itself.
type endpointStatementMessage struct {
	endpoint  fleet.Endpoint
	statement exchange.Statement
	// sentAt is the time at which the request was sent whose answer holds the statement; zero if that is not known.
	sentAt time.Time
}

func (m endpointStatementMessage) apply(d *dispatcher) {
	now := time.Now()
	fields := []zap.Field{zap.String("endpoint", m.endpoint.ID), zap.Int64("born", m.endpoint.Born), zap.String("address", m.endpoint.Address)}
	if m.statement.Pause > 0 {
		d.table.RecordPause(now, &m.endpoint.Endpoint, m.statement.Pause)
		d.log.Info("endpoint asked for a pause", append(fields, zap.Duration("pause", m.statement.Pause))...)
	}
	m.applyRateLimit(d, now, fields)
	if !m.statement.Leaving || !d.table.RecordLeaving(now, &m.endpoint.Endpoint) {
		return
	}
	d.log.Info("endpoint announced that it is leaving", fields...)
	maps.DeleteFunc(d.leaving, func(_ uint64, r *leavingRun) bool {
		return !r.notifyDepartures(func(service, endpoint string, copies bool) bool {
			return endpoint != m.endpoint.ID && d.available(service, endpoint, copies)
		})
	})
}

// applyRateLimit records the limit that the endpoint states, or that it states none.
func (m endpointStatementMessage) applyRateLimit(d *dispatcher, now time.Time, fields []zap.Field) {
	e, s := &m.endpoint.Endpoint, m.statement
	switch {
	case s.HasRateLimit:
		if d.table.RecordRateLimit(now, m.sentAt, e, s.RateLimit) {
			d.log.Info("endpoint stated a rate limit", append(fields, zap.Float64("rate", s.RateLimit))...)
			d.announceRateLimit(ratelimit.Limit{Endpoint: ratelimit.EndpointOf(e), Rate: s.RateLimit})
		}
	case s.InvalidRateLimit:
		d.log.Warn("endpoint stated an unusable rate limit; ignoring it", fields...)
	case !m.sentAt.IsZero() && d.table.RecordNoRateLimit(m.sentAt, e):
		d.log.Info("endpoint no longer states a rate limit", fields...)
	}
}
