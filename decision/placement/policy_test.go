package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// busyCandidates returns n endpoints, most of them with running requests.
func busyCandidates(n int, lengths *LengthTable, index *PrefixIndex) []*Candidate {
	var list []*Candidate
	for i := range n {
		c := &Candidate{
			ID: fmt.Sprintf("e%d", i), Slot: i, Admits: true, InFlight: i % 20, Limit: 64, Models: []string{"a", "m"},
			Capacity: 400_000, StepModel: &StepModel{},
		}
		for k := range c.InFlight {
			f := NewForecast(lengths, 500, 20*k, 0, 16)
			c.Memory.Add(&f)
			c.StepModel.Observe(k, time.Duration(10+k)*time.Millisecond)
		}
		index.Add(i, []uint64{1, 2, uint64(3 + i%4)})
		list = append(list, c)
	}
	return list
}

func busyRequest(lengths *LengthTable) *Request {
	r := &Request{Model: "m", Exclude: []string{"e3"}, Memory: NewForecast(lengths, 700, 0, 0, 16)}
	for h := range uint64(32) {
		r.PrefixHashes = append(r.PrefixHashes, h+1)
	}
	return r
}

// Guards against a policy, baselines included, that chooses an endpoint although the filters reject it.
func TestEveryPolicyObeysTheFilters(t *testing.T) {
	for _, name := range []string{Azuredyke, LeastOutstanding, RoundRobin} {
		p := NewPolicy(name, rand.New(rand.NewPCG(1, 2)), NewPrefixIndex())
		candidates := []*Candidate{
			{ID: "full"},
			{ID: "excluded", Admits: true},
			{ID: "other model", Admits: true, Models: []string{"x"}},
			{ID: "alone", Admits: true, Alone: true},
		}
		r := &Request{Model: "m", Exclude: []string{"excluded"}}
		for range 10 {
			_, ok := p.Choose(r, candidates)
			assert.Assert(t, !ok, name)
		}
		candidates = append(candidates, &Candidate{ID: "free", Admits: true})
		for range 10 {
			i, ok := p.Choose(r, candidates)
			assert.Assert(t, ok, name)
			assert.Equal(t, candidates[i].ID, "free")
		}
	}
}

// Guards against allocations in Choose, which would grow with the number of endpoints.
func TestChooseDoesNotAllocate(t *testing.T) {
	lengths, index := NewLengthTable(nil), NewPrefixIndex()
	candidates, r := busyCandidates(32, lengths, index), busyRequest(lengths)
	for _, name := range []string{Azuredyke, LeastOutstanding, RoundRobin} {
		p := NewPolicy(name, rand.New(rand.NewPCG(1, 2)), index)
		p.Choose(r, candidates)
		assert.Equal(t, testing.AllocsPerRun(100, func() { p.Choose(r, candidates) }), 0.0, name)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, name := range []string{Azuredyke, LeastOutstanding, RoundRobin} {
		for _, n := range []int{8, 32, 128} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				lengths, index := NewLengthTable(nil), NewPrefixIndex()
				candidates, r := busyCandidates(n, lengths, index), busyRequest(lengths)
				p := NewPolicy(name, rand.New(rand.NewPCG(1, 2)), index)
				b.ReportAllocs()
				for b.Loop() {
					p.Choose(r, candidates)
				}
			})
		}
	}
}
