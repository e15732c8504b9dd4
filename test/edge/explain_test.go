package edge

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/explanation"
	"azuredyke.dev/azuredyke/test/harness"
)

// Guards against a node process that doesn't serve explanations, and against one that sends a request to explain it.
func TestNodeExplainsAChoiceWithoutSending(t *testing.T) {
	s := harness.NewEdgeSite(t, 2)
	s.AddWorker("here", true)
	s.AddWorker("leaving", true)
	s.Start()
	s.SetEvacuated("zone-2", true)
	get := func() (a explanation.Answer) {
		resp, err := http.Get("http://" + s.Nodes[0].Settings.Listen.Metrics + "/explain?host=site.example&path=/note/1&prompt_tokens=1000&max_tokens=400")
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&a))
		return a
	}
	var a explanation.Answer
	s.Eventually("a request would be sent", func() bool {
		a = get()
		return a.Outcome == explanation.OutcomeSent && len(a.Endpoints) == 2
	})
	assert.Equal(t, a.Route, "note")
	for _, e := range get().Endpoints {
		assert.Equal(t, e.InFlight, 0)
	}
}
