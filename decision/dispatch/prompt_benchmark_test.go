package dispatch

import (
	"fmt"
	"testing"
	"time"

	"azuredyke.dev/azuredyke/decision/prefix"
)

// BenchmarkPlacePrompt measures placing and releasing a run whose prompt has four parts on one of 2,000 engines at a node of 1,500. If
// full, its memory fits on no engine, so that all of them are compared.
func BenchmarkPlacePrompt(b *testing.B) {
	for _, full := range []bool{false, true} {
		for _, enabled := range []bool{false, true} {
			b.Run(fmt.Sprintf("full=%v/affinity=%v", full, enabled), func(b *testing.B) {
				ids := make([]string, 2000)
				for i := range ids {
					ids[i] = fmt.Sprintf("i-%010x", i)
				}
				table, _ := newTable(0, ids...)
				table.params.PromptAffinity = enabled
				table.SetNodes(1500)
				if full {
					var others []Load
					for _, id := range ids {
						others = append(others, Load{Endpoint: id, InFlight: 1, Tokens: 9000})
					}
					table.SetOthersLoad(start, others)
				}
				now, i := start, 0
				for b.Loop() {
					i++
					now = now.Add(30 * time.Millisecond)
					c := prefix.Chain(nil).Append("system", 200).Append(fmt.Sprint(i%16), 1000).Append(fmt.Sprint(i%64), 500).Append(fmt.Sprint(i), 1300)
					placed, _ := table.Place(now, Request{Service: "s", PromptTokens: 3000, Tokens: 3800, Prompt: c})
					table.Release(now, placed.Run, Succeeded)
				}
			})
		}
	}
}
