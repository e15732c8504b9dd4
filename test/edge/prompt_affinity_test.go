package edge

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/test/harness"
)

// Guards against parts of prompts that the node reads but does not use: each request of a session would go to a random idle engine.
func TestSessionReturnsToItsEngine(t *testing.T) {
	s := harness.NewEdgeSite(t, 1, func(e *settings.Edge) { e.Features.PromptAffinity = true })
	for i := range 6 {
		s.AddWorkerWith(fmt.Sprint("w", i), true, func(w *workers.Worker) { w.Events = 5 })
	}
	s.Start()
	for session := range 3 {
		first := ""
		for i := range 4 {
			id := fmt.Sprintf("r-%d-%d", session, i)
			req := s.Request(s.Nodes[0], http.MethodPost, "/note/1", id)
			harness.SetEdgePromptParts(req, "aa:40", fmt.Sprintf("b%d:2000", session))
			_, err := readEvents(t, req, func(int) {})
			assert.NilError(t, err)
			worker := s.Fleet.Runs(t.Context(), id)[0].Worker
			if i == 0 {
				first = worker
			}
			assert.Equal(t, worker, first)
		}
	}
	t.Log(metricLines(t, s.Nodes[0], "cached_tokens"))
}
