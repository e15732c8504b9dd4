package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/decision/placement"
	"azuredyke.dev/azuredyke/decision/speed"
)

const (
	// fullWeightTime is the time over which the events of a run are one measurement.
	fullWeightTime = 500 * time.Millisecond
	// minMeasuredEvents is the number of events below which their mean interval is not used: events that the network delivers
	// together make it too short or too long.
	minMeasuredEvents = 4
)

// RecordMeasurement records the times that were measured of a run.
func (t *Table) RecordMeasurement(now time.Time, number uint64, m Measurement) {
	r := t.runs[number]
	if r == nil || !t.params.EndpointSpeed {
		return
	}
	e, s := r.endpoint, t.speedOf(r.endpoint.service.Name)
	e.speed.RecordState(now, m.State)
	e.advanceUsage(now)
	inFlight, prefillShare, known := e.usage.meanSince(r.usage)
	r.usage = e.usage
	switch {
	case m.FirstEvent > 0 && r.prefill > 0:
		s.ObserveFirstEvent(now, &e.speed, m.FirstEvent.Seconds(), float64(r.promptTokens))
	case m.Answer > 0 && e.service.Engine == nil:
		s.ObserveAnswer(now, &e.speed, m.Answer.Seconds(), inFlight)
	case known && m.Events >= minMeasuredEvents && m.Elapsed > 0:
		weight := min(1, float64(m.Elapsed)/float64(fullWeightTime))
		s.ObserveInterval(now, &e.speed, m.Elapsed.Seconds()/float64(m.Events), inFlight, prefillShare, weight)
	}
}

// speedOf returns the usual times of a service.
func (t *Table) speedOf(service string) *speed.Service {
	s := t.speeds[service]
	if s == nil {
		s = &speed.Service{}
		t.speeds[service] = s
	}
	return s
}

// setOthersSpeed replaces what the other nodes measured of an endpoint. If their load expires, what they measured decays.
func (t *Table) setOthersSpeed(now time.Time, e *endpoint, others Load) {
	if t.params.EndpointSpeed {
		e.speed.SetOthers(now, others.SpeedSum, others.SpeedCount)
	}
}

// ShareSpeeds adds the measured speeds to the own load. It is called once a second, so that changes of speed cause no more updates
// than that.
func (t *Table) ShareSpeeds(now time.Time) {
	for _, e := range t.endpoints {
		sum, count := 0, 0
		if t.params.EndpointSpeed {
			sum, count = e.speed.Share(now)
		}
		if sum != e.own.SpeedSum || count != e.own.SpeedCount {
			e.own.SpeedSum, e.own.SpeedCount, t.ownLoadChanged = sum, count, true
		}
	}
}

// setCandidateSpeed sets the expected times of an endpoint in its candidate.
func (t *Table) setCandidateSpeed(now time.Time, e *endpoint) {
	c := &e.candidate
	if !t.params.EndpointSpeed {
		return
	}
	s := t.speedOf(e.service.Name)
	c.Slowdown = e.speed.Slowdown(now)
	if e.service.Engine == nil {
		c.AnswerTime = s.AnswerTime(1)
		return
	}
	// The time between events of a run of many seconds depends on the learnt speed, not on that of the moment.
	c.EventInterval = e.speed.Learned(now) * s.Interval(float64(c.InFlight+1), 0)
	c.UsualInterval = s.Interval(1, 0)
	c.PromptTokenTime = c.Slowdown * s.PromptTokenTime()
}

// policies returns the policies for a request, in the order in which they are tried.
func (t *Table) policies(r *Request) []*placement.Policy {
	plain, strict, lenient := t.plainPolicy, t.strictEnginePolicy, t.enginePolicy
	if t.params.EndpointSpeed {
		plain, strict, lenient = t.plainSpeedPolicy, t.strictSpeedPolicy, t.engineSpeedPolicy
	}
	switch {
	case r.SpareMemoryOnly, r.Tokens > 0 && r.RequireMemoryFit:
		return []*placement.Policy{strict}
	case r.Tokens > 0:
		// If the memory fits on no engine, the request goes to an engine that queues it.
		return []*placement.Policy{strict, lenient}
	}
	return []*placement.Policy{plain}
}
