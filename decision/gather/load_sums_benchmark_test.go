package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// BenchmarkRelay measures one report of a node with three changed endpoints, and the updates that the relay then builds and
// encodes for all nodes of its data centre.
func BenchmarkRelay(b *testing.B) {
	for _, size := range []struct{ nodes, endpoints int }{{16, 71}, {64, 71}, {167, 71}, {167, 1200}, {167, 12000}} {
		b.Run(fmt.Sprintf("nodes=%d/endpoints=%d", size.nodes, size.endpoints), func(b *testing.B) {
			sums, reporters := NewLoadSums(1), make([]*Reporter, size.nodes)
			now := time.Unix(100, 0)
			var remote []dispatch.Load
			for e := range size.endpoints {
				remote = append(remote, dispatch.Load{Endpoint: fmt.Sprintf("i-%010x", e), InFlight: 4, Tokens: 14000, Prefill: 3000})
			}
			sums.ApplyDataCentreUpdate(now, "west", "r", Update{Epoch: 1, Seq: 1, Full: true, Loads: remote})
			for n := range reporters {
				reporters[n] = NewReporter(1)
				sums.ApplyNodeUpdate(now, fmt.Sprint(n), reporters[n].Next(now))
			}
			sums.Next(now)
			bytes, round := 0, 0
			b.ResetTimer()
			for b.Loop() {
				round++
				n := round % size.nodes
				var own []dispatch.Load
				for e := range 3 {
					own = append(own, dispatch.Load{Endpoint: remote[(round+e)%size.endpoints].Endpoint, InFlight: 1, Tokens: round, Prefill: 100})
				}
				reporters[n].SetLoad(now, own)
				sums.ApplyNodeUpdate(now, fmt.Sprint(n), reporters[n].Next(now))
				updates := sums.Next(now)
				for to := range size.nodes {
					data, err := cbor.Marshal(updates.ForNode(fmt.Sprint(to)))
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(data)
				}
			}
			b.ReportMetric(float64(bytes)/float64(round*size.nodes), "bytes/update")
		})
	}
}
