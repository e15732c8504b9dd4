package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// recordAnswers records n answers whose lengths are returned by draw.
func recordAnswers(t *LengthTable, n int, draw func() int) {
	for range n {
		length := draw()
		t.RecordGrowth(0, length)
		t.RecordEnd(length)
	}
}

// Guards against a prediction that ignores the recorded lengths or the present length of the answer.
func TestLengthTableLearnsBimodalLengths(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	table := NewLengthTable(nil)
	recordAnswers(table, 4000, func() int {
		if random.IntN(10) == 0 {
			return 3000 + random.IntN(1000)
		}
		return 20 + random.IntN(20)
	})
	near := func(got, want, tolerance float64) {
		t.Helper()
		assert.Assert(t, math.Abs(got-want) <= tolerance*want, "got %.1f, want %.1f", got, want)
	}
	near(table.Remaining(0), 0.9*30+0.1*3500, 0.25)
	near(table.Remaining(100), 3400, 0.25)
	near(table.Survival(0, 100), 0.1, 0.2)
	near(table.Survival(100, 2000), 1, 0.1)
	assert.Assert(t, table.Quantile(0, 0.5) < 60)
	assert.Assert(t, table.Quantile(0, 0.95) > 2000)
	assert.Assert(t, table.Quantile(100, 0.1) > 2000)
}

// Guards against a prediction that is too short because long answers are still running.
func TestLengthTableLearnsFromRunningAnswers(t *testing.T) {
	ended, all := NewLengthTable(nil), NewLengthTable(nil)
	recordAnswers(ended, 100, func() int { return 30 })
	recordAnswers(all, 100, func() int { return 30 })
	for range 100 {
		all.RecordGrowth(0, 2000)
	}
	assert.Assert(t, ended.Survival(0, 100) < 0.1)
	assert.Assert(t, all.Survival(0, 100) > 0.4)
}

// Guards against a table that doesn't follow a change of the lengths.
func TestLengthTableFollowsChangedLengths(t *testing.T) {
	table := NewLengthTable(nil)
	recordAnswers(table, 4*halfLifeAnswers, func() int { return 3000 })
	recordAnswers(table, 4*halfLifeAnswers, func() int { return 30 })
	assert.Assert(t, table.Survival(0, 100) < 0.1, "%f", table.Survival(0, 100))
}

// Guards against predictions for a new workspace that ignore the lengths of its service, and against lengths of one workspace
// that are used for another.
func TestLengthTablesInheritFromServiceTable(t *testing.T) {
	tables := NewLengthTables()
	for range 200 {
		tables.RecordGrowth("drafts", 0, 4000)
		tables.RecordEnd("drafts", 4000)
	}
	assert.Assert(t, tables.ForWorkspace("new").Survival(0, 2000) > 0.8)
	for range 200 {
		tables.RecordEnd("triage", 10)
	}
	assert.Assert(t, tables.ForWorkspace("triage").Survival(0, 2000) < 0.1)
	assert.Assert(t, tables.ForWorkspace("drafts").Survival(0, 2000) > 0.8)
}

// Guards against an unlimited number of tables when there are many workspaces.
func TestLengthTablesAreBounded(t *testing.T) {
	tables := NewLengthTables()
	for i := range 2 * maxWorkspaces {
		tables.RecordEnd(string(rune(i)), 10)
	}
	assert.Equal(t, len(tables.byWorkspace), maxWorkspaces)
}
