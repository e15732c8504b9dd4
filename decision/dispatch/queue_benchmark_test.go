package dispatch

import (
	"fmt"
	"testing"

	"azuredyke.dev/azuredyke/decision/overload"
)

// BenchmarkScan measures one scan of 32 waiting requests on 44 engines without room.
func BenchmarkScan(b *testing.B) {
	var ids []string
	for i := range 44 {
		ids = append(ids, fmt.Sprint("e", i))
	}
	table, _ := newOrderedTable(ids...)
	q := NewQueue(table)
	for range 44 {
		q.Offer(start, newHeld("w", 0, 9000))
	}
	for i := range 32 {
		q.Offer(start, newHeld(fmt.Sprint("w", i%24), 2*(i%2), 3000+i))
	}
	var others overload.Pressure
	for i := range 24 {
		others.Usage = append(others.Usage, overload.WorkspaceUsage{Workspace: fmt.Sprint("w", i), Used: 30_000, Waiting: 20_000})
	}
	others.Usage = overload.SortUsage(others.Usage)
	others.AddWaiting(overload.Shape{Service: "s", Tokens: 3000, PromptTokens: 3000})
	for b.Loop() {
		q.SetOthers(start, others)
		q.Scan(start, nil)
	}
	b.ReportMetric(float64(q.Len()), "waiting")
}
