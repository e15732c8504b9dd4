package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// resendAfter is the delay before a caller sends an unrepeatable call again with the same key.
const resendAfter = 50 * time.Millisecond

// Arrivals returns randomly drawn requests of a scenario, sorted by time. The same seed gives the same requests.
func (s Scenario) Arrivals(seed uint64) []Arrival {
	r := rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
	arrivals := s.Workload.drawCompletions(r, s.completionRate())
	arrivals = append(arrivals, s.Workload.drawOrders(r)...)
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

func (w Workload) drawCompletions(r *rand.Rand, rate float64) []Arrival {
	var arrivals []Arrival
	for _, at := range drawPoissonTimes(r, rate, w.Duration) {
		// The rate rises linearly over the warm-up: endpoints start cold, and at the full rate a backlog from the start would
		// last into the measured period.
		if at < w.Warmup && r.Float64() > at.Seconds()/w.Warmup.Seconds() {
			continue
		}
		class := pick(r, w.Classes, func(c Class) float64 { return c.Share })
		workspace := pick(r, w.Workspaces, func(x WorkspaceWorkload) float64 { return x.Share })
		arrivals = append(arrivals, Arrival{
			At: at, Class: class, Workspace: workspace, Prompt: buildPrompt(r, class, workspace),
		})
	}
	return arrivals
}

func (w Workload) drawOrders(r *rand.Rand) []Arrival {
	var arrivals []Arrival
	if w.Orders.Service == "" {
		return nil
	}
	for i, at := range drawPoissonTimes(r, w.Orders.PerSecond, w.Duration) {
		a := Arrival{At: at, IsOrder: true, Workspace: pick(r, w.Workspaces, func(x WorkspaceWorkload) float64 { return x.Share })}
		if r.Float64() < w.Orders.UnrepeatableShare {
			a.Key = fmt.Sprintf("order-%d-%d", i, r.Uint64())
			if r.Float64() < w.Orders.ResendShare {
				resend := a
				resend.At += resendAfter
				arrivals = append(arrivals, resend)
			}
		}
		arrivals = append(arrivals, a)
	}
	return arrivals
}

// drawPoissonTimes returns the event times of a Poisson process with rate events per second.
func drawPoissonTimes(r *rand.Rand, rate float64, duration time.Duration) []time.Duration {
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

// pick returns a random item, with a probability proportional to its share.
func pick[T any](r *rand.Rand, items []T, share func(T) float64) T {
	total := 0.0
	for _, item := range items {
		total += share(item)
	}
	point := r.Float64() * total
	for _, item := range items {
		if point -= share(item); point < 0 {
			return item
		}
	}
	return items[len(items)-1]
}

// bytesPerToken is the prompt length that the fake engine counts as one token.
const bytesPerToken = 4

// buildPrompt returns a prompt that consists of the marker of the class, the prefix shared by the workspace and class, and
// unique text.
func buildPrompt(r *rand.Rand, c Class, w WorkspaceWorkload) string {
	var b strings.Builder
	b.WriteString(c.marker())
	sharedText := fmt.Sprintf("workspace %s. ", w.Name)
	for b.Len() < c.SharedPrefixTokens*bytesPerToken {
		b.WriteString(sharedText)
	}
	// The unique part has 0.5 to 1.5 times its mean length.
	uniqueTokens := float64(c.PromptTokens-c.SharedPrefixTokens) * (0.5 + r.Float64())
	end := b.Len() + int(uniqueTokens)*bytesPerToken
	fmt.Fprintf(&b, "%016x ", r.Uint64())
	for b.Len() < end {
		b.WriteString("words and more words ")
	}
	return b.String()
}

// drawOutputTokens draws an output length from the distribution that the fake engine uses.
func drawOutputTokens(r *rand.Rand, c Class) float64 {
	drawn := c.OutputMedian * math.Exp(c.OutputSigma*r.NormFloat64())
	return min(max(drawn, 1), float64(c.OutputMax))
}
