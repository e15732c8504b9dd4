package dispatch

import (
	"maps"
	"slices"
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
	// maxSharedChanges bounds the endpoints whose shared speed changes at once, which is 16 times 33 bytes in the messages of a node in a
	// second. With 63 nodes, each of 44 engines can change 20 times a second; with 1,500 nodes, each of 12,000 engines twice.
	maxSharedChanges = 16
)

// RecordMeasurement records the times that were measured of a run.
func (t *Table) RecordMeasurement(now time.Time, number uint64, m Measurement) {
	r := t.runs[number]
	if r == nil {
		return
	}
	if m.State > 0 {
		t.speed.recordStatement(r.endpoint.service.Name)
	}
	if !t.choosesBySpeed(r.endpoint.service.Name) {
		return
	}
	e, s := r.endpoint, t.speed.of(r.endpoint.service.Name)
	e.speed.RecordState(now, m.State)
	e.advanceUsage(now)
	inFlight, prefillShare, known := e.usage.meanSince(r.usage)
	r.usage = e.usage
	switch {
	case m.FirstEvent > 0 && r.prefill > 0:
		s.ObserveFirstEvent(now, &e.speed, m.FirstEvent.Seconds(), float64(r.prefillAhead+r.prefill)-r.cachedTokens)
	case m.Answer > 0 && e.service.Engine == nil:
		s.ObserveAnswer(now, &e.speed, m.Answer.Seconds(), inFlight)
	case known && m.Events >= minMeasuredEvents && m.Elapsed > 0:
		weight := min(1, float64(m.Elapsed)/float64(fullWeightTime))
		s.ObserveInterval(now, &e.speed, m.Elapsed.Seconds()/float64(m.Events), inFlight, prefillShare, weight)
	}
}

// choosesBySpeed reports whether the endpoints of a service are chosen by their speed: if the settings say so, or if endpoints of the
// service state the speed of their hosts, which differs then.
func (t *Table) choosesBySpeed(service string) bool {
	return t.params.EndpointSpeed || t.speed.stated[service]
}

// SpeedSummaries returns the measured speeds of the services whose endpoints are chosen by speed, sorted by service.
func (t *Table) SpeedSummaries(now time.Time) []SpeedSummary {
	var summaries []SpeedSummary
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		if !t.choosesBySpeed(service) {
			continue
		}
		summary := SpeedSummary{Service: service}
		var slowdowns []float64
		for _, e := range t.services[service] {
			slowdowns = append(slowdowns, e.speed.Learned(now))
			summary.Observations += e.speed.Observations(now)
		}
		slices.Sort(slowdowns)
		summary.Fastest, summary.Median, summary.Slowest = slowdowns[0], slowdowns[len(slowdowns)/2], slowdowns[len(slowdowns)-1]
		summaries = append(summaries, summary)
	}
	return summaries
}

// setOthers replaces the others' load on an endpoint and what they measured of it. If their load expires, what they measured decays.
func (t *Table) setOthers(now time.Time, e *endpoint, others Load) {
	e.advanceUsage(now)
	e.others = others
	e.countGiven()
	if others.SpeedCount > 0 {
		t.speed.recordStatement(e.service.Name)
	}
	if t.choosesBySpeed(e.service.Name) {
		e.speed.SetOthers(now, others.SpeedSum, others.SpeedCount)
	}
}

// ShareSpeeds adds the measured speeds to the own load, for a random choice of the endpoints whose speed has changed. It is called once
// a second, so that changes of speed cause no more updates than that.
func (t *Table) ShareSpeeds(now time.Time) {
	t.clearUnusedSpeeds()
	var changed []*endpoint
	for _, id := range slices.Sorted(maps.Keys(t.endpoints)) {
		if e := t.endpoints[id]; t.choosesBySpeed(e.service.Name) && e.speed.ShareDue(now) {
			changed = append(changed, e)
		}
	}
	t.random.Shuffle(len(changed), func(i, j int) { changed[i], changed[j] = changed[j], changed[i] })
	for _, e := range changed[:min(maxSharedChanges, len(changed))] {
		e.own.SpeedSum, e.own.SpeedCount = e.speed.Share(now)
		t.ownLoadChanged = true
	}
}

// clearUnusedSpeeds removes the measured speeds from the own load of services whose endpoints are no longer chosen by speed.
func (t *Table) clearUnusedSpeeds() {
	for _, e := range t.endpoints {
		if !t.choosesBySpeed(e.service.Name) && e.own.SpeedCount != 0 {
			e.own.SpeedSum, e.own.SpeedCount, t.ownLoadChanged = 0, 0, true
		}
	}
}

// setCandidateSpeeds sets the expected times and cached tokens of endpoints in their candidates. It is called for the endpoints that are
// compared, not for all, because it takes much longer than the rest of a candidate.
func (t *Table) setCandidateSpeeds(now time.Time, endpoints []*endpoint) {
	t.setCachedTokens(endpoints)
	if len(endpoints) == 0 || !t.choosesBySpeed(endpoints[0].service.Name) {
		return
	}
	s := t.speed.of(endpoints[0].service.Name)
	for _, e := range endpoints {
		c := &e.candidate
		c.Slowdown = e.speed.Slowdown(now)
		if e.service.Engine == nil {
			c.AnswerTime = s.AnswerTime(1)
			continue
		}
		// The time between events of a run of many seconds depends on the learnt speed, not on that of the moment.
		c.EventInterval, c.UsualInterval = s.Interval(float64(c.InFlight+1), 0), s.Interval(1, 0)
		if c.UsualInterval == 0 {
			// Without own measurements, the speeds that the others measured are compared alone.
			c.EventInterval, c.UsualInterval = speed.InitialInterval, speed.InitialInterval
		}
		c.EventInterval *= e.speed.Learned(now)
		c.PromptTokenTime = c.Slowdown * s.PromptTokenTime()
	}
}

// policies returns the policies for a request, in the order in which they are tried.
func (t *Table) policies(r *Request) []*placement.Policy {
	plain, strict, lenient := t.plainPolicy, t.strictEnginePolicy, t.enginePolicy
	if t.choosesBySpeed(r.Service) {
		plain, strict, lenient = t.speed.plain, t.speed.strictEngine, t.speed.engine
	}
	switch {
	case t.params.OrderedAdmission && r.Tokens > 0:
		return t.orderedPolicies(r, strict, lenient)
	case r.SpareMemoryOnly, r.Tokens > 0 && r.RequireMemoryFit:
		return []*placement.Policy{strict}
	case r.Tokens > 0:
		// If the memory fits on no engine, the request goes to an engine that queues it.
		return []*placement.Policy{strict, lenient}
	}
	return []*placement.Policy{plain}
}
