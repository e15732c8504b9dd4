package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// resendAfter is the time after which a caller sends an unrepeatable call again.
const resendAfter = 50 * time.Millisecond

// Arrivals draws the requests of a scenario, sorted by time. The same seed gives the same requests.
func (s Scenario) Arrivals(seed uint64) []Arrival {
	r := rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
	arrivals := s.Workload.completions(r, s.rate())
	arrivals = append(arrivals, s.Workload.orders(r)...)
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

func (w Workload) completions(r *rand.Rand, rate float64) []Arrival {
	var arrivals []Arrival
	for _, at := range poisson(r, rate, w.Duration) {
		// The rate rises over the warm-up, since endpoints start cold and a backlog of the start would last into the measure.
		if at < w.Warmup && r.Float64() > at.Seconds()/w.Warmup.Seconds() {
			continue
		}
		class := pick(r, w.Classes, func(c Class) float64 { return c.Share })
		workspace := pick(r, w.Workspaces, func(x WorkspaceWorkload) float64 { return x.Share })
		arrivals = append(arrivals, Arrival{
			At: at, Class: class, Workspace: workspace, Prompt: promptOf(r, class, workspace),
		})
	}
	return arrivals
}

func (w Workload) orders(r *rand.Rand) []Arrival {
	var arrivals []Arrival
	if w.Orders.Service == "" {
		return nil
	}
	for i, at := range poisson(r, w.Orders.PerSecond, w.Duration) {
		a := Arrival{At: at, Order: true, Workspace: pick(r, w.Workspaces, func(x WorkspaceWorkload) float64 { return x.Share })}
		if r.Float64() < w.Orders.UnrepeatableShare {
			a.Key = fmt.Sprintf("order-%d-%d", i, r.Uint64())
			if r.Float64() < w.Orders.ResendShare {
				again := a
				again.At += resendAfter
				arrivals = append(arrivals, again)
			}
		}
		arrivals = append(arrivals, a)
	}
	return arrivals
}

// poisson returns the times of a Poisson process.
func poisson(r *rand.Rand, rate float64, duration time.Duration) []time.Duration {
	var times []time.Duration
	if rate <= 0 {
		return nil
	}
	for at := 0.0; ; {
		at += r.ExpFloat64() / rate
		t := time.Duration(at * float64(time.Second))
		if t >= duration {
			return times
		}
		times = append(times, t)
	}
}

// pick draws an item by its share.
func pick[T any](r *rand.Rand, items []T, share func(T) float64) T {
	total := 0.0
	for _, item := range items {
		total += share(item)
	}
	at := r.Float64() * total
	for _, item := range items {
		if at -= share(item); at < 0 {
			return item
		}
	}
	return items[len(items)-1]
}

// bytesPerToken is the length of a token in the stand-in's prompts.
const bytesPerToken = 4

// promptOf builds a prompt: the class's marker, the shared prefix, and text of its own.
func promptOf(r *rand.Rand, c Class, w WorkspaceWorkload) string {
	var b strings.Builder
	b.WriteString(c.marker())
	shared := fmt.Sprintf("workspace %s. ", w.Name)
	for b.Len() < c.SharedPrefixTokens*bytesPerToken {
		b.WriteString(shared)
	}
	// Half to one and a half times the mean length.
	own := float64(c.PromptTokens-c.SharedPrefixTokens) * (0.5 + r.Float64())
	end := b.Len() + int(own)*bytesPerToken
	fmt.Fprintf(&b, "%016x ", r.Uint64())
	for b.Len() < end {
		b.WriteString("words and more words ")
	}
	return b.String()
}

// drawLength draws an output length as the stand-in of an engine does.
func drawLength(r *rand.Rand, c Class) float64 {
	drawn := c.OutputMedian * math.Exp(c.OutputSigma*r.NormFloat64())
	return min(max(drawn, 1), float64(c.OutputMax))
}
