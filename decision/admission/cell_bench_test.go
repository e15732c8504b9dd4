package admission

import (
	"fmt"
	"testing"
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// BenchmarkPlacement measures a placement in a busy cell: enqueue, dispatch and the report of completion.
func BenchmarkPlacement(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			c := NewCell("cell", testFence, now, Params{
				StartWithin: time.Second, ColdLimit: 64, MaxConcurrency: 64, MaxQueue: 2048,
			})
			var list []message.Endpoint
			for i := range n {
				list = append(list, message.Endpoint{ID: fmt.Sprint("e", i)})
			}
			c.SetEndpoints(now, list, nil)
			for _, e := range list {
				c.ApplyLoad(now, now, message.LoadReport{
					Endpoint: e.ID, Incarnation: "a", BlocksTotal: 50_000, BlockTokens: 16, Models: []string{"m"},
					Running: 1, StepTime: 20 * time.Millisecond,
				})
			}
			ticket := uint64(0)
			place := func() uint64 {
				ticket++
				c.Enqueue(now, WaitingRequest{Ticket: ticket, Deadline: now.Add(time.Hour), Request: message.PlaceRequest{
					Workspace: "w", Model: "m", PromptTokens: 500, MaxTokens: 500,
				}})
				return c.Dispatch(now, confirmedOwner)[0].Reply.Grant.Number
			}
			for range 32 * n {
				place()
			}
			b.ReportAllocs()
			for b.Loop() {
				c.ApplyReport(now, message.GrantReport{
					Fence: testFence, Number: place(), Event: message.GrantCompleted, Tokens: 300, Elapsed: 6 * time.Second,
				})
			}
		})
	}
}
