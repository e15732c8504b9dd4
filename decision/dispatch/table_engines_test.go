package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an engine that is not probed although a run on it would be lost, and against probes, which are charged, of engines whose
// runs can continue at a backup.
func TestEnginesWithoutBackup(t *testing.T) {
	table, _ := newTable(0, "a", "b", "c")
	backedUp, refusal := table.Place(start, Request{Service: "s", PromptTokens: 10, Tokens: 100, RequiredEndpoint: "a", Backup: true})
	assert.Equal(t, refusal, Refusal(""))
	assert.Assert(t, backedUp.Backup.ID != "")
	alone, refusal := table.Place(start, Request{Service: "s", PromptTokens: 10, Tokens: 100, RequiredEndpoint: "b"})
	assert.Equal(t, refusal, Refusal(""))
	assert.Equal(t, len(table.BusyEngines()), 2)
	without := table.EnginesWithoutBackup()
	assert.Equal(t, len(without), 1)
	assert.Equal(t, without[0].ID, "b")
	table.Release(start, alone.Run, Succeeded)
	assert.Equal(t, len(table.EnginesWithoutBackup()), 0)
}
