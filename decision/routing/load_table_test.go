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

func picks(table *LoadTable, now time.Time, c []Candidate, prefix uint64) []int {
	counts := make([]int, len(c))
	for range 1000 {
		counts[table.Pick(now, c, prefix)]++
	}
	return counts
}

// Guards against requests that leave the data centre or the region unnecessarily.
func TestNearCellsComeFirst(t *testing.T) {
	n := picks(newLoadTable(), start, candidates(SameDataCentre, SameDataCentre, SameRegion, OtherRegion), 0)
	assert.Assert(t, n[0]+n[1] > n[2] && n[2] >= n[3], "%v", n)
	assert.Assert(t, n[0] > 0 && n[1] > 0, "%v", n)
	assert.Equal(t, n[3], 0)
}

// Guards against requests for a busy cell while another cell is free, and against a cell that is avoided permanently.
func TestBusyCellIsAvoidedUntilItsSummaryIsOld(t *testing.T) {
	table := newLoadTable()
	c := candidates(SameDataCentre, SameRegion)
	table.RecordSummary(start, "c0", message.CellSummary{Queued: 50})
	table.RecordSummary(start, "c1", message.CellSummary{Free: 8})
	assert.DeepEqual(t, picks(table, start, c, 0), []int{0, 1000})
	assert.DeepEqual(t, picks(table, start.Add(time.Minute), c, 0), []int{1000, 0})
	table.RecordFailure(start, "c0")
	assert.DeepEqual(t, picks(table, start, c, 0), []int{0, 1000})
}

// Guards against a burst of requests to one cell before its next summary arrives.
func TestRequestsSinceTheSummaryCount(t *testing.T) {
	table := newLoadTable()
	c := candidates(SameDataCentre, SameDataCentre)
	table.RecordSummary(start, "c0", message.CellSummary{Free: 4})
	table.RecordSummary(start, "c1", message.CellSummary{Free: 4})
	counts := make([]int, 2)
	for range 20 {
		i := table.Pick(start, c, 0)
		table.RecordRequest(start, c[i].Cell)
		counts[i]++
	}
	assert.DeepEqual(t, counts, []int{10, 10})
}

// Guards against a prefix whose cache is spread over many cells, and against a prefix that overloads its cell.
func TestPrefixPrefersOneCellUnlessMuchBusier(t *testing.T) {
	table := newLoadTable()
	c := candidates(SameDataCentre, SameRegion, SameRegion, OtherRegion)
	used := map[int]bool{}
	for prefix := uint64(1); prefix <= 50; prefix++ {
		n := picks(table, start, c, prefix)
		i := table.Pick(start, c, prefix)
		assert.Equal(t, n[i], 1000)
		used[i] = true
	}
	assert.DeepEqual(t, used, map[int]bool{0: true, 1: true, 2: true})
	i := table.Pick(start, c, 7)
	table.RecordSummary(start, c[i].Cell, message.CellSummary{Queued: 50})
	assert.Equal(t, picks(table, start, c, 7)[i], 0)
}

// Guards against memory that grows with the number of cells that no longer exist.
func TestOldCellsAreRemoved(t *testing.T) {
	table := newLoadTable()
	for i := range 10 * maxCells {
		table.RecordRequest(start.Add(time.Duration(i)*time.Second), fmt.Sprint("c", i))
	}
	assert.Assert(t, len(table.cells) <= maxCells)
}

// Guards against requests that wait for an owner that does not answer probes while another owner does.
func TestSuspectOwnerIsTheLastChoice(t *testing.T) {
	table := newLoadTable()
	c := candidates(SameDataCentre, OtherRegion)
	c[0].Suspect = true
	table.RecordSummary(start, "c1", message.CellSummary{Queued: 50})
	n := picks(table, start, c, 0)
	assert.DeepEqual(t, n, []int{0, 1000})
	for prefix := uint64(1); prefix < 10; prefix++ {
		assert.Equal(t, table.Pick(start, c, prefix), 1)
	}
	assert.Equal(t, table.Pick(start, c[:1], 0), 0)
}
