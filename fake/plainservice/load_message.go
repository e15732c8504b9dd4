package plainservice

import "azuredyke.dev/azuredyke/transport/engine"

// loadMessage requests the load report.
type loadMessage struct {
	reply chan<- engine.LoadReportBody
}

func (m loadMessage) handle(t *task) {
	m.reply <- engine.LoadReportBody{
		Incarnation: "plain", Running: t.stats.InFlight, CompletedTotal: t.stats.Ran - int64(t.stats.InFlight),
		Draining: t.leaving,
	}
}
