package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlace measures placing and releasing a long run on one of 2,000 engines at a node of 1,500, with and without speeds.
func BenchmarkPlace(b *testing.B) {
	for _, enabled := range []bool{false, true} {
		b.Run(fmt.Sprintf("speed=%v", enabled), func(b *testing.B) {
			ids := make([]string, 2000)
			for i := range ids {
				ids[i] = fmt.Sprintf("i-%010x", i)
			}
			table, _ := newTable(0, ids...)
			p := params
			p.EndpointSpeed = enabled
			table.SetParams(p)
			table.SetNodes(1500)
			var others []Load
			for i, id := range ids {
				others = append(others, Load{Endpoint: id, InFlight: 1, Tokens: 1000, SpeedSum: i%100 - 50, SpeedCount: 50})
			}
			table.SetOthersLoad(start, others)
			now := start
			for b.Loop() {
				now = now.Add(30 * time.Millisecond)
				placed, _ := table.Place(now, Request{Service: "s", PromptTokens: 3000, Tokens: 3800})
				table.RecordMeasurement(now, placed.Run, Measurement{FirstEvent: time.Second})
				table.Release(now, placed.Run, Succeeded)
			}
		})
	}
}
