package edge

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/explanation"
	"azuredyke.dev/azuredyke/test/harness"
)

// Guards against a node process that doesn't serve explanations, or that doesn't follow the store in them, and against one that counts
// the explained request.
func TestNodeExplainsAChoiceWithoutPlacing(t *testing.T) {
	s := harness.NewEdgeSite(t, 2)
	s.AddWorker("here", true)
	s.PutWorkerEntry(s.AddWorker("leaving", true), "draining")
	s.Start()
	get := func() (a explanation.Answer) {
		resp, err := http.Get("http://" + s.Nodes[0].Settings.Listen.Metrics + "/explain?host=site.example&path=/note/1&prompt_tokens=1000&max_tokens=400")
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&a))
		return a
	}
	var a explanation.Answer
	// A started node sends nothing to cold endpoints at first.
	s.Eventually("a request would be sent", func() bool {
		a = get()
		return a.Outcome == explanation.OutcomeSent
	})
	assert.Equal(t, a.Route+" "+a.Chosen, "note here")
	for _, e := range get().Endpoints {
		assert.Equal(t, e.InFlight, 0)
		assert.Equal(t, e.Usable, e.ID == "here")
		assert.Equal(t, e.Reason == "leaving", e.ID == "leaving")
	}
}
