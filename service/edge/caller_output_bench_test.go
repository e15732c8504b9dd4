package edge

import (
	"context"
	"testing"

	"github.com/uber-go/tally/v4"
)

// BenchmarkCallerOutput measures what the writer task adds to an event, and what it costs for a stream.
func BenchmarkCallerOutput(b *testing.B) {
	keeper := newBufferKeeper(1<<20, tally.NoopScope)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go keeper.run(ctx)
	part := make([]byte, 400)
	b.Run("event", func(b *testing.B) {
		output := keeper.newOutput(discardingCaller{})
		output.start()
		defer output.stop(ctx)
		for b.Loop() {
			output.push(ctx, part)
			output.remove(ctx, <-output.written())
		}
	})
	b.Run("stream", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			output := keeper.newOutput(discardingCaller{})
			output.start()
			output.stop(ctx)
		}
	})
}

// discardingCaller reads everything at once.
type discardingCaller struct{ *recordedCaller }

func (discardingCaller) Write([]byte) error { return nil }
