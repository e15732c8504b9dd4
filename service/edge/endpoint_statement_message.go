package edge

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/decision/fleet"
)

// endpointStatementMessage reports what an endpoint says about itself.
type endpointStatementMessage struct {
	endpoint  fleet.Endpoint
	statement exchange.Statement
}

func (m endpointStatementMessage) apply(d *dispatcher) {
	now := time.Now()
	fields := []zap.Field{zap.String("endpoint", m.endpoint.ID), zap.Int64("born", m.endpoint.Born), zap.String("address", m.endpoint.Address)}
	if m.statement.Pause > 0 {
		d.table.RecordPause(now, &m.endpoint.Endpoint, m.statement.Pause)
		d.log.Info("endpoint asked for a pause", append(fields, zap.Duration("pause", m.statement.Pause))...)
	}
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
