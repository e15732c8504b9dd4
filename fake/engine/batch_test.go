package engine

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"azuredyke.dev/azuredyke/common/latest"
)

// newTestSequence returns a sequence with a prompt of the given number of blocks of four tokens.
func newTestSequence(id string, blocks, length, priority int) *sequence {
	text := strings.Repeat(id[:1], blocks*4*bytesPerToken)
	return &sequence{
		generation: &generation{id: id, prompt: newPrompt(text, 4), progress: latest.New(progress{})},
		length:     length, priority: priority,
	}
}

func newTestBatch(blocks int64) *batch {
	return newBatch(Options{Blocks: blocks, BlockTokens: 4}.withDefaults(), func(CacheEventKind, uint64) {})
}

// step runs one step and removes the finished sequences.
func (b *batch) step() {
	b.planStep()
	for _, s := range b.applyStep() {
		if s.produced >= s.length {
			b.remove(s)
		}
	}
}

// Guards against preempting a sequence while one of lower priority, or a newer one of the same priority, is running.
func TestFullMemoryPreemptsLowestPriorityNewest(t *testing.T) {
	b := newTestBatch(6)
	high, old, recent := newTestSequence("a", 1, 20, 5), newTestSequence("b", 1, 20, 0), newTestSequence("c", 1, 20, 0)
	for _, s := range []*sequence{old, recent, high} {
		b.add(s)
	}
	for b.preemptions == 0 {
		b.step()
	}
	assert.DeepEqual(t, ids(b.waiting), []string{"c"})
	assert.Assert(t, recent.produced > 0, "the preempted sequence must keep the tokens that it produced")
	for b.size() > 0 {
		b.step()
	}
	for _, s := range []*sequence{old, recent, high} {
		assert.Equal(t, s.produced, 20, s.id)
	}
}

// Guards against a step time that does not depend on the batch size and the number of prefilled tokens.
func TestStepTimeGrowsWithBatchAndPrefill(t *testing.T) {
	b := newTestBatch(1000)
	b.add(newTestSequence("a", 2, 100, 0))
	prefillStep := b.planStep()
	b.applyStep()
	decodeStep := b.planStep()
	b.applyStep()
	assert.Equal(t, prefillStep-decodeStep, 8*b.options.PrefillTime)
	b.add(newTestSequence("b", 1, 100, 0))
	b.step()
	assert.Equal(t, b.planStep()-decodeStep, b.options.SequenceTime)
}

// Guards against computing a cached prefix again.
func TestSharedPrefixIsComputedOnce(t *testing.T) {
	b := newTestBatch(100)
	for _, id := range []string{"a1", "a2"} {
		b.add(newTestSequence(id, 5, 1, 0))
		b.step()
	}
	assert.Equal(t, b.prefilled, int64(5*4+1))
}

// Guards against blocks that are leaked or counted twice under any order of arrivals, steps and cancellations.
func TestMemoryIsAccountedExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestBatch(int64(rapid.IntRange(12, 40).Draw(t, "blocks")))
		var all []*sequence
		for i := range rapid.IntRange(1, 60).Draw(t, "actions") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				s := newTestSequence(fmt.Sprintf("%c%d", 'a'+rune(rapid.IntRange(0, 3).Draw(t, "prompt")), i),
					rapid.IntRange(1, 5).Draw(t, "size"), rapid.IntRange(1, 30).Draw(t, "length"),
					rapid.IntRange(0, 2).Draw(t, "priority"))
				all = append(all, s)
				b.add(s)
			case 1:
				if len(all) > 0 {
					b.remove(all[rapid.IntRange(0, len(all)-1).Draw(t, "cancelled")])
				}
			default:
				b.step()
			}
			checkMemory(t, b)
		}
		for steps := 0; b.size() > 0; steps++ {
			if steps > 20_000 {
				t.Fatalf("the batch did not drain in 20000 steps: running %v, waiting %v", ids(b.running), ids(b.waiting))
			}
			b.step()
			checkMemory(t, b)
		}
		if b.memory.used() != 0 {
			t.Fatalf("%d blocks are in use after all sequences ended", b.memory.used())
		}
	})
}

func checkMemory(t *rapid.T, b *batch) {
	var private int64
	refs := map[uint64]int{}
	for _, s := range b.running {
		private += s.privateBlocks
		for _, hash := range s.sharedBlocks {
			refs[hash]++
		}
		if held := s.privateBlocks + int64(len(s.sharedBlocks)); held < b.memory.blocksFor(s.prompt.tokens+int64(s.produced)) {
			t.Fatalf("sequence %s has only %d blocks, too few for its tokens", s.id, held)
		}
	}
	if private != b.memory.privateBlocks || private+int64(len(b.memory.cached)) > b.memory.total {
		t.Fatalf("sequences have %d private blocks, the memory counts %d; %d cached blocks, %d in total",
			private, b.memory.privateBlocks, len(b.memory.cached), b.memory.total)
	}
	for hash, block := range b.memory.cached {
		if block.refs != refs[hash] || (block.idle == nil) != (block.refs > 0) {
			t.Fatalf("block %x: %d references from sequences, reference count %d", hash, refs[hash], block.refs)
		}
	}
}

func ids(list []*sequence) []string {
	var out []string
	for _, s := range list {
		out = append(out, s.id)
	}
	return out
}
