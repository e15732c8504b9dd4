package dispatch

import (
	"fmt"
	"testing"
	"time"

	"azuredyke.dev/azuredyke/decision/overload"
)

// BenchmarkScan measures one scan of waiting requests on engines without room, a sixth of which have announced their departure.
func BenchmarkScan(b *testing.B) {
	for _, size := range []struct{ engines, waiting int }{{44, 32}, {2000, 32}, {2000, 1000}} {
		b.Run(fmt.Sprintf("%d engines, %d waiting", size.engines, size.waiting), func(b *testing.B) {
			var ids []string
			for i := range size.engines {
				ids = append(ids, fmt.Sprint("e", i))
			}
			table, _ := newOrderedTable(ids...)
			for i, id := range ids {
				e := table.endpoints[id]
				e.others = Load{InFlight: 1, Tokens: 9000}
				if i%6 == 0 {
					table.RecordLeaving(start, &e.Endpoint.Endpoint)
				}
			}
			q := NewQueue(table)
			for i := range size.waiting {
				h := newHeld(fmt.Sprint("w", i%24), 2*(i%2), 3000+i)
				h.FirstEventBy = start.Add(time.Duration(i%200) * 20 * time.Millisecond)
				h.Request.FirstEventBy = h.FirstEventBy
				q.held = append(q.held, h)
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
		})
	}
}
