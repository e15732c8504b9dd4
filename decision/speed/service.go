package speed

import "time"

const (
	// firstEventWeight is the weight of one time to the first event. It counts less than half a second of events, because the time
	// also depends on how the engine orders its prompts.
	firstEventWeight = 0.3
	// answerWeight is the weight of one plain call.
	answerWeight = 0.5
	// initialPromptTokenTime is the time for a prompt token in seconds until it has been measured: 14,000 tokens in one second, by
	// which prompts are placed without measurements.
	initialPromptTokenTime = 1.0 / 14_000
	// maxPromptTimeRatio bounds the ratio of the measured time for a prompt token to the initial one, so that queued prompts always
	// count.
	maxPromptTimeRatio = 4
)

// InitialInterval is the time between two events in seconds that is assumed until it has been measured: 4 tokens in steps of 7 ms.
const InitialInterval = 0.03

// Service holds the usual times of a service, in seconds. The zero value knows none.
type Service struct {
	// interval is the time between two events, by requests in flight and by the share of time in which prompts were computed.
	interval Regression
	// firstEvent is the time to the first event, by the prompt tokens that are computed until then.
	firstEvent Regression
	// answer is the time to the answer of a plain call, by requests in flight.
	answer Regression
}

// ObserveInterval adds the mean time between the events of a run on an endpoint. Weight is 1 for about half a second.
func (s *Service) ObserveInterval(now time.Time, e *Estimate, interval, inFlight, prefillShare, weight float64) {
	observe(now, &s.interval, e, interval, inFlight, prefillShare, weight)
}

// ObserveFirstEvent adds the time to the first event of a run whose prompt is the last of some tokens.
func (s *Service) ObserveFirstEvent(now time.Time, e *Estimate, took, promptTokens float64) {
	s.firstEvent.PriorSlope = initialPromptTokenTime
	observe(now, &s.firstEvent, e, took, promptTokens, 0, firstEventWeight)
}

// ObserveAnswer adds the time to the answer of a plain call.
func (s *Service) ObserveAnswer(now time.Time, e *Estimate, took, inFlight float64) {
	observe(now, &s.answer, e, took, inFlight, 0, answerWeight)
}

func observe(now time.Time, r *Regression, e *Estimate, measured, a, b, weight float64) {
	if measured <= 0 {
		return
	}
	slowdown := e.Learned(now)
	if usual := r.Predict(a, b); usual > 0 {
		e.Observe(now, measured/usual, weight)
	}
	r.Observe(now, a, b, measured/slowdown)
}

// Interval returns the usual time between two events; 0 if it is unknown.
func (s *Service) Interval(inFlight, prefillShare float64) float64 {
	return s.interval.Predict(inFlight, prefillShare)
}

// PromptTokenTime returns the usual time for one prompt token.
func (s *Service) PromptTokenTime() float64 {
	if !s.firstEvent.Known() {
		return initialPromptTokenTime
	}
	return min(initialPromptTokenTime*maxPromptTimeRatio, max(initialPromptTokenTime/maxPromptTimeRatio, s.firstEvent.SlopeA()))
}

// AnswerTime returns the usual time of a plain call; 0 if it is unknown.
func (s *Service) AnswerTime(inFlight float64) float64 { return s.answer.Predict(inFlight, 0) }
