package overload

import "time"

// backlogShare is the share of the most urgent class's objective that the prompts on an engine may take before a less urgent one is
// added. Several nodes may add a prompt on the same figures, and the urgent one that follows still needs time for its own.
const backlogShare = 0.25

// urgentMargin and lessUrgentMargin extend the mean time to the first event. Steps of other runs and, for less urgent requests, urgent
// prompts that arrive later make it vary, so that the mean alone would make requests late that are sent near the end of their objective.
const (
	urgentMargin     = 1.1
	lessUrgentMargin = 2.0
)

// PrefillLimit bounds the prompts that wait on one engine.
type PrefillLimit struct {
	Urgent Class
	Rates  PrefillRates
	// Yields is set while a more urgent request waits. New requests have more time left than it and would otherwise keep the backlog
	// above what it can use.
	Yields bool
}

// time returns the time in which an engine computes prompt tokens for a request, with the margin.
func (l PrefillLimit) time(priority, tokens int) time.Duration {
	margin := urgentMargin
	if priority > l.Urgent.Priority {
		margin = lessUrgentMargin
	}
	return time.Duration(margin * float64(l.Rates.Of(priority).Time(tokens)))
}

// FirstEventTime returns the time to the first event of a request on an idle engine.
func (l PrefillLimit) FirstEventTime(priority, own int) time.Duration { return l.time(priority, own) }

// Admits reports whether a request with the given priority and size may be added at now to an engine on which ahead prompt tokens
// are computed before its own. firstEventBy is the time at which its objective ends; zero if it has none.
func (l PrefillLimit) Admits(now time.Time, priority, ahead, own int, firstEventBy time.Time) bool {
	if own == 0 {
		return true
	}
	late := false
	if !firstEventBy.IsZero() {
		// An idle engine gives the earliest first event. A request that is late even there is limited as a less urgent one.
		late = now.Add(l.time(priority, own)).After(firstEventBy)
		if !late && now.Add(l.time(priority, ahead+own)).After(firstEventBy) {
			return false
		}
	}
	if l.Urgent.Objective == 0 || priority <= l.Urgent.Priority && !late && !l.Yields {
		return true
	}
	return l.Rates.Of(l.Urgent.Priority).Time(ahead) <= time.Duration(backlogShare*float64(l.Urgent.Objective))
}
