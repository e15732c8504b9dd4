package speed

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The fast engine runs more requests, which delays the estimate: the ratio is 2.43, and 1.9 is reached after 40 s.
// Guards against a fast engine that counts as slow because it runs more requests, and against prompts that count as slowness.
func TestLoadIsNotTakenForSlowness(t *testing.T) {
	var s Service
	var fast, slow Estimate
	random := rand.New(rand.NewPCG(2, 2))
	now := start
	for range 160 {
		now = now.Add(250 * time.Millisecond)
		for _, e := range []struct {
			estimate  *Estimate
			slowdown  float64
			most      int
			mostQueue float64
		}{{&fast, 0.7, 20, 1}, {&slow, 1.7, 4, 0.2}} {
			n, q := float64(1+random.IntN(e.most)), e.mostQueue*random.Float64()
			s.ObserveInterval(now, e.estimate, e.slowdown*4*(0.007+0.00012*n+0.008*q), n, q, 1)
		}
	}
	ratio := slow.Learned(now) / fast.Learned(now)
	assert.Assert(t, ratio > 1.9 && ratio < 2.6, "ratio %v", ratio)
}

// Guards against a node that has only used slow engines and takes them for usual ones although the others know better.
func TestNodeOnSlowEnginesUsesTheSpeedOthersMeasured(t *testing.T) {
	var s Service
	var slow, fast Estimate
	now := start
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		slow.SetOthers(now, 53*10, 100)
		fast.SetOthers(now, -36*10, 100)
		s.ObserveInterval(now, &slow, 1.7*0.030, 4, 0, 1)
	}
	assert.Assert(t, slow.Learned(now)/fast.Learned(now) > 2, "%v %v", slow.Learned(now), fast.Learned(now))
	usual := s.Interval(4, 0)
	assert.Assert(t, usual > 0.025 && usual < 0.036, "%v", usual)
}

// Guards against a prompt time of zero, with which queued prompts would not count.
func TestPromptTokenTimeIsNeverZero(t *testing.T) {
	var s Service
	var e Estimate
	assert.Equal(t, s.PromptTokenTime(), initialPromptTokenTime)
	for i := range 20 {
		s.ObserveFirstEvent(start, &e, 0.010, float64(1000*i))
	}
	assert.Assert(t, s.PromptTokenTime() >= initialPromptTokenTime/maxPromptTimeRatio)
	s, e = Service{}, Estimate{}
	for i := range 60 {
		s.ObserveFirstEvent(start, &e, 0.010+float64(i%20)/7, float64(1000*(i%20)))
	}
	assert.Assert(t, s.PromptTokenTime() > 1.0/8000 && s.PromptTokenTime() < 1.0/6000, "%v", s.PromptTokenTime())
}
