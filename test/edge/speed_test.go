package edge

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/test/harness"
)

// Guards against speeds that are measured but reach neither the choices of the node nor those of a node that has run nothing.
func TestNodesPreferTheEngineThatOneOfThemFoundFast(t *testing.T) {
	s := harness.NewEdgeSite(t, 2, func(e *settings.Edge) { e.Features.EndpointSpeed = true })
	for id, interval := range map[string]time.Duration{"fast": 15 * time.Millisecond, "slow": 75 * time.Millisecond} {
		s.AddWorkerWith(id, true, func(w *workers.Worker) { w.Interval, w.Events = interval, 40 })
	}
	s.Start()
	var running sync.WaitGroup
	for i := range 6 {
		running.Go(func() {
			_, _ = readEvents(t, s.Request(s.Nodes[0], http.MethodPost, "/note/1", fmt.Sprintf("measured-%d", i)), func(int) {})
		})
	}
	running.Wait()
	for i, n := range s.Nodes {
		var shown string
		s.Eventually("node shows the speed of both engines", func() bool {
			shown = metricLines(t, n, "slowdown_")
			var least, most float64
			for line := range strings.Lines(shown) {
				_, _ = fmt.Sscanf(line, `azuredyke_dispatcher_slowdown_min{service="engines"} %g`, &least)
				_, _ = fmt.Sscanf(line, `azuredyke_dispatcher_slowdown_max{service="engines"} %g`, &most)
			}
			return least > 0 && most > 1.5*least
		})
		t.Log(shown)
		for j := range 4 {
			id := fmt.Sprintf("placed-%d-%d", i, j)
			_, err := readEvents(t, s.Request(n, http.MethodPost, "/note/1", id), func(int) {})
			assert.NilError(t, err)
			assert.Equal(t, s.Fleet.Runs(t.Context(), id)[0].Worker, "fast")
		}
	}
}

// metricLines returns the lines of a node's metrics that contain a text.
func metricLines(t *testing.T, n *harness.EdgeNode, text string) string {
	t.Helper()
	resp, err := http.Get("http://" + n.Settings.Listen.Metrics + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	var lines strings.Builder
	for line := range strings.Lines(string(body)) {
		if strings.Contains(line, text) {
			lines.WriteString(line)
		}
	}
	return lines.String()
}
