package overload

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against notices without end, against ones that are too frequent, and against pressure that others never hear the end of.
func TestPressureIsReportedWhileSomethingWaits(t *testing.T) {
	var s PressureSchedule
	_, ok := s.Due()
	assert.Assert(t, !ok)
	var p Pressure
	p.AddWaiting(Shape{Service: "s", Tokens: 100})
	p.Usage = []WorkspaceUsage{{Workspace: "w", Used: 5}}
	sent, usage := 0, 0
	for ms := range 1000 {
		if ms == 500 {
			p = Pressure{}
			s.Request()
		}
		if ms == 0 {
			s.Request()
		}
		if due, ok := s.Due(); ok && !after(ms).Before(due) {
			notice, needed := s.Next(after(ms), p)
			if needed {
				sent++
				usage += len(notice.Usage)
				assert.Equal(t, notice.IsZero(), ms >= 500)
			}
		}
	}
	assert.Equal(t, sent, 11)
	assert.Equal(t, usage, 2)
	// A node on which nothing waits reports only its usage.
	p.Usage = []WorkspaceUsage{{Workspace: "w", Used: 5}}
	s.Request()
	_, needed := s.Next(after(1100), p)
	assert.Assert(t, needed)
	s.Request()
	_, needed = s.Next(after(1150), p)
	assert.Assert(t, !needed)
	s = PressureSchedule{sentAt: after(500)}
	s.SetReceivers(500)
	s.Request()
	due, _ := s.Due()
	assert.Equal(t, due, after(500+250))
}

// Guards against pressure of a node that has left, which would keep others waiting for ever, and against a relay that counts a
// node's own pressure among that of the others.
func TestSumsOfPressure(t *testing.T) {
	s := NewPressureSums()
	var a, b Pressure
	a.AddWaiting(Shape{Service: "s", Rank: 1, Tokens: 100, PromptTokens: 50})
	b.AddWaiting(Shape{Service: "s", Rank: 1, Tokens: 300, PromptTokens: 60})
	b.AddWaiting(Shape{Service: "s", Rank: 0, Long: true, Tokens: 10})
	a.Usage = []WorkspaceUsage{{Workspace: "w", Used: 7}}
	s.Record(after(0), "a", a)
	a.Usage = nil
	s.Record(after(600), "a", a)
	s.Record(after(700), "b", b)
	total := s.Total(after(900))
	assert.Equal(t, total.Requests("s", 1), 3)
	assert.Equal(t, total.Usage[0].Used, 7)
	others := total.Without(s.Of(after(900), "b"))
	assert.Equal(t, others.Requests("s", 1), 1)
	assert.Equal(t, others.Waiting[0].Demand.Tokens, 100)
	// The usage of a is from the time 0; b is the only source that is not silent later.
	assert.Equal(t, len(s.Total(after(1000)).Usage), 0)
	assert.Equal(t, s.Total(after(1650)).Requests("s", 1), 2)
	assert.Assert(t, s.Total(after(1700)).IsZero())
}
