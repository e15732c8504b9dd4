package engine

import (
	"net/http"
	"strconv"
	"time"

	"azuredyke.dev/azuredyke/transport/engine"
)

// loadMessage asks for the load report.
type loadMessage struct {
	reply chan<- engine.LoadBody
}

// takenReport is a load report and when it was taken.
type takenReport struct {
	taken time.Time
	body  engine.LoadBody
}

// maxReports bounds the reports kept for the lag.
const maxReports = 4096

func (m loadMessage) handle(t *task) {
	now := time.Now()
	t.takeReport(now)
	shown := t.reports[0]
	for _, r := range t.reports[1:] {
		if now.Sub(r.taken) >= t.options.LoadLag {
			shown = r
		}
	}
	// A report holds until the next one was taken, so it is never older than the lag.
	shown.body.AgeMS = min(now.Sub(shown.taken), t.options.LoadLag).Milliseconds()
	m.reply <- shown.body
}

// takeReport records the present load and forgets reports that are not shown any more.
func (t *task) takeReport(now time.Time) {
	t.reports = append(t.reports, takenReport{taken: now, body: t.currentReport(now)})
	first := 0
	for first+1 < len(t.reports) && now.Sub(t.reports[first+1].taken) >= t.options.LoadLag {
		first++
	}
	t.reports = t.reports[max(first, len(t.reports)-maxReports):]
}

// currentReport returns the load as it is now.
func (t *task) currentReport(now time.Time) engine.LoadBody {
	leaving, _ := t.draining(now)
	models := make([]string, 0, len(t.models))
	for m := range t.models {
		models = append(models, m)
	}
	return engine.LoadBody{
		Incarnation: strconv.Itoa(t.outside.Load().incarnation),
		Running:     len(t.batch.running), Waiting: len(t.batch.waiting),
		CompletedTotal: t.completed, PreemptionsTotal: t.batch.preemptions,
		BlocksUsed: t.batch.memory.used(), BlocksTotal: t.options.Blocks, BlockTokens: t.options.BlockTokens,
		StepMS: t.stepTime.Seconds() * 1000, Draining: leaving, Models: models,
	}
}

// serveLoad serves GET /load.
func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, ask(s, r, func(reply chan<- engine.LoadBody) message { return loadMessage{reply: reply} }))
}
