package rollout

import "time"

// disturb schedules the disturbance of the case.
func (s *simulation) disturb() {
	switch s.disturbance {
	case killedOld:
		s.killSome(s.old, 4)
	case killedTarget:
		s.killSome(s.target, 4)
	case killedCanary:
		for range 2 {
			s.after(s.between(2*time.Second, 8*time.Second), func() {
				if ids := s.canary.Choose(func(id string) bool { return s.byID[id].admits(s.now) }); len(ids) > 0 {
					s.takeDown(s.byID[ids[0]], time.Hour)
				}
			})
		}
	case flapping:
		s.eachTenth(func(e *simulatedEndpoint) { s.flap(e) })
	case lyingHealth:
		s.eachTenth(func(e *simulatedEndpoint) { s.lie(e) })
	case newDecider:
		s.after(s.between(time.Second, 11*time.Second), func() { s.judge = NewJudge(DefaultJudgeParams()) })
	default:
	}
}

func (s *simulation) killSome(from []*simulatedEndpoint, n int) {
	for i := range min(n, len(from)/3) {
		s.after(s.between(2*time.Second, 11*time.Second), func() { s.takeDown(from[i], time.Hour) })
	}
}

// eachTenth calls a function at a random time for one of ten endpoints, at least one of each version.
func (s *simulation) eachTenth(run func(e *simulatedEndpoint)) {
	for i := range max(1, s.service.endpoints/10) {
		for _, e := range []*simulatedEndpoint{s.old[i], s.target[i]} {
			s.after(s.between(1500*time.Millisecond, 4*time.Second), func() { run(e) })
		}
	}
}

// takeDown ends an endpoint with all its runs.
func (s *simulation) takeDown(e *simulatedEndpoint, d time.Duration) {
	e.downUntil = s.now + d
	for run := range e.running {
		s.end(run, 0, true)
	}
}

func (s *simulation) flap(e *simulatedEndpoint) {
	s.takeDown(e, 300*time.Millisecond)
	s.after(2*time.Second, func() { s.flap(e) })
}

func (s *simulation) lie(e *simulatedEndpoint) {
	e.failsUntil = s.now + 500*time.Millisecond
	s.after(500*time.Millisecond, func() { e.downUntil = s.now + 2*time.Second })
	s.after(4*time.Second, func() { s.lie(e) })
}
