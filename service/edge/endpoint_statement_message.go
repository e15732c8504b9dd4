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
	endpoint fleet.Endpoint
	said     exchange.Statement
}

func (m endpointStatementMessage) apply(d *dispatcher) {
	now := time.Now()
	fields := []zap.Field{zap.String("endpoint", m.endpoint.ID), zap.Int64("born", m.endpoint.Born), zap.String("address", m.endpoint.Address)}
	if m.said.Pause > 0 {
		d.table.RecordPause(now, &m.endpoint.Endpoint, m.said.Pause)
		d.log.Info("endpoint wants no requests for some time", append(fields, zap.Duration("pause", m.said.Pause))...)
	}
	if !m.said.Leaving || !d.table.RecordLeaving(now, &m.endpoint.Endpoint) {
		return
	}
	d.log.Info("endpoint said that it is leaving", fields...)
	maps.DeleteFunc(d.leaving, func(_ uint64, r *leavingRun) bool {
		return !r.notifyDepartures(func(service, endpoint string, copies bool) bool {
			return endpoint != m.endpoint.ID && d.available(service, endpoint, copies)
		})
	})
}
