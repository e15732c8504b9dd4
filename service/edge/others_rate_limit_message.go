package edge

import (
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/service/ratelimit"
)

// othersRateLimitMessage carries the limit that an endpoint has stated to another node.
type othersRateLimitMessage struct {
	limit ratelimit.Limit
}

func (m othersRateLimitMessage) apply(d *dispatcher) {
	e := m.limit.Endpoint
	if !d.table.RecordOthersRateLimit(time.Now(), e.Catalog(), m.limit.Rate) {
		return
	}
	d.log.Info("another node announced the rate limit of an endpoint", zap.String("endpoint", e.ID), zap.Int64("born", e.Born),
		zap.Float64("rate", m.limit.Rate))
	if d.cluster.Load().topology.rank >= 0 {
		d.announceRateLimit(m.limit)
	}
}
