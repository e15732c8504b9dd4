package buffer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	step = 8 << 10
	// total is a tenth of the memory of the smallest nodes.
	total = 11_200_000
	// answer is the size of a long answer.
	answer = 178_000
)

// Guards against a sum above the budget, against streams that get nothing while others buffer whole answers, and against a few
// callers that are refused although there is room. All callers read nothing, and their engines have sent the whole answer.
func TestManyCallersThatReadNothing(t *testing.T) {
	for streams, least := range map[int]int64{10: answer, 40: answer, 200: Floor, 300: Floor, 600: 0} {
		t.Run(fmt.Sprint(streams), func(t *testing.T) {
			b, held := NewBudget(total), map[uint64]int64{}
			for range answer/step + 1 {
				for id := range uint64(streams) {
					if held[id] < answer {
						apply(held, b.Report(id, held[id], held[id]+step))
					}
					assert.Assert(t, b.Granted() <= total)
				}
			}
			for id := range uint64(streams) {
				assert.Assert(t, held[id] >= least, "stream %d has %d", id, held[id])
			}
		})
	}
}

// Guards against a stream that gets no room because callers that came before it hold the whole budget and read nothing.
func TestStreamThatComesLateGetsItsFloor(t *testing.T) {
	b, held := NewBudget(total), map[uint64]int64{}
	for id := range uint64(60) {
		for range answer / step {
			apply(held, b.Report(id, held[id], held[id]+step))
		}
	}
	for id := uint64(60); id < 120; id++ {
		for range Floor / step {
			apply(held, b.Report(id, held[id], held[id]+step))
		}
		assert.Equal(t, held[id], int64(Floor), "stream %d", id)
	}
}

// Guards against a shortage that stops a stream other than the one that buffers most, and against one that stops it below its floor.
func TestLargestStreamIsReducedFirst(t *testing.T) {
	const small = 10 * Floor
	b := NewBudget(small)
	assert.DeepEqual(t, b.Report(1, 0, 4*Floor), []Grant{{1, 4 * Floor}})
	assert.DeepEqual(t, b.Report(2, 0, 3*Floor), []Grant{{2, 3 * Floor}})
	// 7 of the 7.5 floors outside the reserve are granted; stream 3 lacks 1.5.
	assert.DeepEqual(t, b.Report(3, 0, 2*Floor), []Grant{{1, 2*Floor + Floor/2}})
	// The reduction that is under way suffices, and the bytes are granted when they were given back.
	assert.Equal(t, len(b.Report(2, 3*Floor, 0)), 0)
	assert.DeepEqual(t, b.Report(1, 2*Floor+Floor/2, 0), []Grant{{3, 2 * Floor}})
	assert.Equal(t, b.OverFloor(), 3)
	for id := range uint64(4) {
		assert.Equal(t, len(b.Report(id, 0, 0)), 0)
	}
	assert.Equal(t, b.Granted(), int64(0))
	assert.Equal(t, len(b.shares), 0)
}

// Guards against bytes that are lost or granted twice over long times, and against a stream that waits although there is room.
func TestRandomReportsKeepTheSum(t *testing.T) {
	for seed := range uint64(5) {
		random, b, held := rand.New(rand.NewPCG(seed, 1)), NewBudget(total/8), map[uint64]int64{}
		for range 2000 {
			id := random.Uint64N(60)
			switch random.IntN(4) {
			case 0:
				held[id] = 0
				apply(held, b.Report(id, 0, 0))
			case 1:
				held[id] = random.Int64N(held[id] + 1)
				apply(held, b.Report(id, held[id], 0))
			default:
				apply(held, b.Report(id, held[id], held[id]+step))
			}
			var sum int64
			for _, s := range b.shares {
				sum += s.granted
				assert.Assert(t, s.limit <= s.granted && (!s.waits() || s.wanted-s.granted > b.room(s.wanted) || b.shorter(s)), "seed %d", seed)
			}
			assert.Equal(t, sum, b.Granted(), "seed %d", seed)
			assert.Assert(t, sum <= b.total, "seed %d", seed)
		}
	}
}

// shorter reports whether a waiting stream that wants less than s waits for room.
func (b *Budget) shorter(s *share) bool {
	_, first := b.smallestWaiting()
	return first != s && first.wanted <= s.wanted
}

// apply applies grants to streams that give nothing back, because their callers read nothing.
func apply(held map[uint64]int64, grants []Grant) {
	for _, g := range grants {
		held[g.Stream] = max(held[g.Stream], g.Bytes)
	}
}
