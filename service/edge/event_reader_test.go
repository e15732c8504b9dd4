package edge

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/exchange"
)

// endlessStream sends events of one size and counts them.
type endlessStream struct {
	size, sent int
}

func (s *endlessStream) Next() (exchange.Event, error) {
	s.sent++
	return exchange.Event{Raw: make([]byte, s.size)}, nil
}

// Guards against a slow caller whose stream is read ahead without a bound in bytes, and against a reader that stops at an
// event larger than the bound.
func TestReadAheadIsBoundedInBytes(t *testing.T) {
	for size, want := range map[int]int{100: directReadAhead.events, 10 << 10: 3, 100 << 10: 1} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			stream := &endlessStream{size: size}
			reader := readStream(ctx, stream, directReadAhead)
			synctest.Wait()
			assert.Equal(t, len(reader.items), want)
			// One more event is read and waits for room.
			assert.Equal(t, stream.sent, want+1)
			reader.release(<-reader.items)
			synctest.Wait()
			assert.Equal(t, stream.sent, want+2)
			cancel()
			synctest.Wait()
		})
	}
}
