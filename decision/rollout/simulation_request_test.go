package rollout

import (
	"math"
	"time"
)

// arrive creates a request and schedules the next one of its route.
func (s *simulation) arrive(r *simulatedRoute) {
	s.after(time.Duration(s.random.ExpFloat64()/r.rate*float64(time.Second)), func() { s.arrive(r) })
	n := s.nodes[s.random.IntN(len(s.nodes))]
	e := s.choose(n)
	if e == nil {
		return
	}
	n.exposure.RecordSend(e.group)
	n.tally.RecordSend(e.group, r.name)
	s.result.sends++
	if e.group == TargetGroup {
		s.result.targetSends++
		if s.now > s.stopAt {
			s.result.sentLate++
		}
	}
	run := &simulatedRun{node: n, route: r, endpoint: e}
	e.running[run] = true
	s.serve(run, e.load(s.now))
}

// choose returns the endpoint of a request.
func (s *simulation) choose(n *simulatedNode) *simulatedEndpoint {
	switch {
	case n.phase == Promoting || n.phase == Completed:
		return s.pick(s.target)
	case n.phase == Observing && n.exposure.AllowsTarget() && s.canary.Admits(s.now, s.random.Float64()):
		if ids := s.canary.Choose(func(id string) bool { return s.byID[id].admits(s.now) }); len(ids) > 0 {
			return s.byID[ids[s.random.IntN(len(ids))]]
		}
	}
	return s.pick(s.old)
}

func (s *simulation) pick(from []*simulatedEndpoint) *simulatedEndpoint {
	for range 50 {
		if e := from[s.random.IntN(len(from))]; e.admits(s.now) {
			return e
		}
	}
	return nil
}

// serve schedules the events of a run.
func (s *simulation) serve(run *simulatedRun, load float64) {
	r, e := run.route, run.endpoint
	fails, slowdown := r.failures, 1.0
	if s.disturbance == commonFault && s.now >= s.commonFrom && s.now < s.commonFrom+2*time.Second {
		fails, slowdown = fails+0.3, 3
	}
	if (s.disturbance == coldTarget || s.disturbance == hiddenCold) && s.now < e.startedAt+3*time.Second {
		slowdown *= 3
		run.cold = s.disturbance == coldTarget
	}
	if s.now < e.failsUntil {
		fails = 1
	}
	if s.isAffected(run, load) {
		switch s.fault {
		case failing:
			run.affected = s.random.Float64() < s.strength
		case slow:
			run.affected = true
			slowdown *= s.strength
		}
	}
	if s.random.Float64() < fails || s.fault == failing && run.affected {
		s.after(time.Duration(s.random.Float64()*float64(r.firstEvent)), func() { s.end(run, 0, true) })
		return
	}
	first := time.Duration(float64(r.firstEvent) * slowdown * math.Exp(0.5*s.random.NormFloat64()))
	interval := time.Duration(float64(r.interval) * slowdown * math.Exp(0.3*s.random.NormFloat64()))
	if r.events == 0 {
		s.after(first, func() { s.end(run, first, false) })
		return
	}
	s.after(first, func() {
		if !run.ended {
			run.started = true
			run.node.tally.RecordFirstEvent(run.sample(first, 0))
		}
	})
	s.after(first+16*interval, func() {
		if !run.ended && r.events > 16 {
			run.measured = true
			run.node.tally.RecordInterval(run.sample(0, interval))
		}
	})
	s.after(first+time.Duration(r.events)*interval, func() { s.end(run, 0, false) })
}

// isAffected reports whether the fault of the version affects a run that begins now.
func (s *simulation) isAffected(run *simulatedRun, load float64) bool {
	if s.fault == noFault || run.endpoint.group != TargetGroup || s.now < s.onset || s.oneRoute && run.route != s.faultyRoute {
		return false
	}
	rate := 0.0
	for _, r := range s.service.routes {
		rate += r.rate
	}
	return !s.underLoad || load >= 0.7*rate/float64(s.service.endpoints)
}

// end counts the outcome of a run.
func (s *simulation) end(run *simulatedRun, first time.Duration, failed bool) {
	if run.ended {
		return
	}
	run.ended = true
	delete(run.endpoint.running, run)
	outcome := run.sample(first, 0)
	outcome.Failed = failed
	run.node.tally.Record(outcome)
	if run.affected {
		s.badAnswers++
		if s.badAnswers == permittedBad {
			s.stopAt = s.now + rollbackTime
		}
	}
}
