package engine

import (
	"net/http"
	"strconv"
	"time"

	"azuredyke.dev/azuredyke/transport/engine"
)

// loadMessage requests the load report.
type loadMessage struct {
	reply chan<- engine.LoadReportBody
}

// recordedLoad is a load report with its time.
type recordedLoad struct {
	recordedAt time.Time
	body       engine.LoadReportBody
}

// maxRecordedLoads bounds the load reports that are retained to simulate the lag.
const maxRecordedLoads = 4096

func (m loadMessage) handle(t *task) {
	now := time.Now()
	t.recordLoad(now)
	shown := t.loads[0]
	for _, r := range t.loads[1:] {
		if now.Sub(r.recordedAt) >= t.options.LoadLag {
			shown = r
		}
	}
	// A report is valid until the next one was recorded, so its age never exceeds the lag.
	shown.body.AgeMS = min(now.Sub(shown.recordedAt), t.options.LoadLag).Milliseconds()
	m.reply <- shown.body
}

// recordLoad records the current load and discards reports that have been superseded for longer than the lag.
func (t *task) recordLoad(now time.Time) {
	t.loads = append(t.loads, recordedLoad{recordedAt: now, body: t.currentLoad(now)})
	first := 0
	for first+1 < len(t.loads) && now.Sub(t.loads[first+1].recordedAt) >= t.options.LoadLag {
		first++
	}
	t.loads = t.loads[max(first, len(t.loads)-maxRecordedLoads):]
}

// currentLoad returns a load report of the current state.
func (t *task) currentLoad(now time.Time) engine.LoadReportBody {
	leaving, _ := t.draining(now)
	models := make([]string, 0, len(t.models))
	for m := range t.models {
		models = append(models, m)
	}
	return engine.LoadReportBody{
		Incarnation: strconv.Itoa(t.processState.Load().incarnation),
		Running:     len(t.batch.running), Waiting: len(t.batch.waiting),
		CompletedTotal: t.completed, PreemptionsTotal: t.batch.preemptions,
		BlocksUsed: t.batch.memory.used(), BlocksTotal: t.options.Blocks, BlockTokens: t.options.BlockTokens,
		StepMS: t.stepTime.Seconds() * 1000, Draining: leaving, Models: models,
	}
}

// serveLoad serves GET /load.
func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, ask(s, r, func(reply chan<- engine.LoadReportBody) message { return loadMessage{reply: reply} }))
}
