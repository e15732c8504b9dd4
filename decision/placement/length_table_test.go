package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// learn feeds n answers of lengths from draw.
func learn(t *LengthTable, n int, draw func() int) {
	for range n {
		length := draw()
		t.Grew(0, length)
		t.Ended(length)
	}
}

// Guards against a prediction that ignores what was learned or how long the answer already is.
func TestLengthTableLearnsTwoKindsOfAnswers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	table := NewLengthTable(nil)
	learn(table, 4000, func() int {
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

// Guards against short answers being taken for typical because the long ones are still running.
func TestLengthTableLearnsFromRunningAnswers(t *testing.T) {
	ended, all := NewLengthTable(nil), NewLengthTable(nil)
	learn(ended, 100, func() int { return 30 })
	learn(all, 100, func() int { return 30 })
	for range 100 {
		all.Grew(0, 2000)
	}
	assert.Assert(t, ended.Survival(0, 100) < 0.1)
	assert.Assert(t, all.Survival(0, 100) > 0.4)
}

// Guards against a table that never follows a change of the work.
func TestLengthTableForgets(t *testing.T) {
	table := NewLengthTable(nil)
	learn(table, 4*halfLife, func() int { return 3000 })
	learn(table, 4*halfLife, func() int { return 30 })
	assert.Assert(t, table.Survival(0, 100) < 0.1, "%f", table.Survival(0, 100))
}

// Guards against a new workspace being predicted without what its service has learned, and against one workspace's
// lengths being used for another.
func TestLengthTablesStartFromTheService(t *testing.T) {
	tables := NewLengthTables()
	for range 200 {
		tables.Grew("drafts", 0, 4000)
		tables.Ended("drafts", 4000)
	}
	assert.Assert(t, tables.Of("new").Survival(0, 2000) > 0.8)
	for range 200 {
		tables.Ended("triage", 10)
	}
	assert.Assert(t, tables.Of("triage").Survival(0, 2000) < 0.1)
	assert.Assert(t, tables.Of("drafts").Survival(0, 2000) > 0.8)
}

// Guards against tables without bound when callers name many workspaces.
func TestLengthTablesAreBounded(t *testing.T) {
	tables := NewLengthTables()
	for i := range 2 * maxWorkspaces {
		tables.Ended(string(rune(i)), 10)
	}
	assert.Equal(t, len(tables.byWorkspace), maxWorkspaces)
}
