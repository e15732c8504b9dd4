package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
)

var start = time.Unix(1_000_000, 0)

func newLoadTable() *LoadTable { return NewLoadTable(rand.New(rand.NewPCG(1, 2))) }

func candidates(distances ...Distance) []Candidate {
	var out []Candidate
	for i, d := range distances {
		out = append(out, Candidate{Cell: fmt.Sprint("c", i), Distance: d})
	}
	return out
}

func picks(b *LoadTable, now time.Time, c []Candidate, prefix uint64) []int {
	counts := make([]int, len(c))
	for range 1000 {
		counts[b.Pick(now, c, prefix)]++
	}
	return counts
}

// Guards against requests that leave the data centre or the region without need.
func TestNearCellsComeFirst(t *testing.T) {
	n := picks(newLoadTable(), start, candidates(SameDataCentre, SameDataCentre, SameRegion, OtherRegion), 0)
	assert.Assert(t, n[0]+n[1] > n[2] && n[2] >= n[3], "%v", n)
	assert.Assert(t, n[0] > 0 && n[1] > 0, "%v", n)
	assert.Equal(t, n[3], 0)
}

// Guards against a busy cell that gets work while another one is free, and against one that is avoided for ever.
func TestBusyCellIsAvoidedUntilItsSummaryIsOld(t *testing.T) {
	b := newLoadTable()
	c := candidates(SameDataCentre, SameRegion)
	b.Observe(start, "c0", message.CellSummary{Queued: 50})
	b.Observe(start, "c1", message.CellSummary{Free: 8})
	assert.DeepEqual(t, picks(b, start, c, 0), []int{0, 1000})
	assert.DeepEqual(t, picks(b, start.Add(time.Minute), c, 0), []int{1000, 0})
	b.Failed(start, "c0")
	assert.DeepEqual(t, picks(b, start, c, 0), []int{0, 1000})
}

// Guards against a burst that goes to one cell before its next summary arrives.
func TestRequestsSinceTheSummaryCount(t *testing.T) {
	b := newLoadTable()
	c := candidates(SameDataCentre, SameDataCentre)
	b.Observe(start, "c0", message.CellSummary{Free: 4})
	b.Observe(start, "c1", message.CellSummary{Free: 4})
	counts := make([]int, 2)
	for range 20 {
		i := b.Pick(start, c, 0)
		b.Asked(start, c[i].Cell)
		counts[i]++
	}
	assert.DeepEqual(t, counts, []int{10, 10})
}

// Guards against a prefix whose cache is spread over many cells, and against a prefix that overloads its cell.
func TestPrefixPrefersOneCellUnlessMuchBusier(t *testing.T) {
	b := newLoadTable()
	c := candidates(SameDataCentre, SameRegion, SameRegion, OtherRegion)
	used := map[int]bool{}
	for prefix := uint64(1); prefix <= 50; prefix++ {
		n := picks(b, start, c, prefix)
		i := b.Pick(start, c, prefix)
		assert.Equal(t, n[i], 1000)
		used[i] = true
	}
	assert.DeepEqual(t, used, map[int]bool{0: true, 1: true, 2: true})
	i := b.Pick(start, c, 7)
	b.Observe(start, c[i].Cell, message.CellSummary{Queued: 50})
	assert.Equal(t, picks(b, start, c, 7)[i], 0)
}

// Guards against memory that grows with cells that no longer exist.
func TestOldCellsAreForgotten(t *testing.T) {
	b := newLoadTable()
	for i := range 10 * maxCells {
		b.Asked(start.Add(time.Duration(i)*time.Second), fmt.Sprint("c", i))
	}
	assert.Assert(t, len(b.cells) <= maxCells)
}

// Guards against requests that wait for an owner which does not answer probes while another one does.
func TestSuspectOwnerIsTheLastChoice(t *testing.T) {
	b := newLoadTable()
	c := candidates(SameDataCentre, OtherRegion)
	c[0].Suspect = true
	b.Observe(start, "c1", message.CellSummary{Queued: 50})
	n := picks(b, start, c, 0)
	assert.DeepEqual(t, n, []int{0, 1000})
	for prefix := uint64(1); prefix < 10; prefix++ {
		assert.Equal(t, b.Pick(start, c, prefix), 1)
	}
	assert.Equal(t, b.Pick(start, c[:1], 0), 0)
}
