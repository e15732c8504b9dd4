package dispatch

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unorderedChoices is the digest of the choices that the table made before it knew priorities and objectives.
const unorderedChoices = 4216442357

// Guards against a change of the choices where ordered admission is off, also if requests state priorities and objectives.
func TestChoicesWithoutOrderedAdmissionAreUnchanged(t *testing.T) {
	table, s := newTable(0, "a", "b", "c", "d", "e", "f")
	table.SetNodes(20)
	random, digest := rand.New(rand.NewPCG(3, 4)), fnv.New32a()
	var open []uint64
	for i := range 4000 {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		if i%500 == 0 {
			s.Endpoints["s"][i/500%6].Leaving = i%1000 == 0
			table.SetSnapshot(now, s)
		}
		r := Request{Service: "s", PromptTokens: random.IntN(3000), Repeat: random.IntN(20) == 0, RequireMemoryFit: random.IntN(2) == 0}
		r.Tokens, r.Backup = r.PromptTokens+random.IntN(800), random.IntN(2) == 0
		r.Resumed = random.IntN(10) == 0
		r.CopyPending, r.SpareMemoryOnly = r.Resumed && random.IntN(2) == 0, r.Resumed && random.IntN(2) == 0
		placed, refusal := table.Place(now, r)
		fmt.Fprint(digest, placed.Endpoint.ID, placed.Backup.ID, refusal)
		if refusal == "" {
			open = append(open, placed.Run)
		}
		if len(open) > 25 {
			table.RecordFirstEvent(open[len(open)-5])
			table.Release(now, open[0], Succeeded)
			open = open[1:]
		}
	}
	assert.Equal(t, digest.Sum32(), uint32(unorderedChoices))
}
