package overload

import "time"

// backlogShare is the share of the most urgent class's objective that the prompts on an engine may take before a less urgent one is
// added. The prompt that is added takes up to half of the objective, and the urgent one that follows needs the rest.
const backlogShare = 0.4

// PrefillLimit bounds the prompts that wait on one engine.
type PrefillLimit struct {
	Urgent Class
	Rate   *PrefillRate
}

// Admits reports whether a request with the given priority and size may be added at now to an engine on which ahead prompt tokens
// are computed before its own. firstEventBy is the time at which its objective ends; zero if it has none.
func (l PrefillLimit) Admits(now time.Time, priority, ahead, own int, firstEventBy time.Time) bool {
	if own == 0 {
		return true
	}
	late := false
	if !firstEventBy.IsZero() {
		// An idle engine gives the earliest first event. A request that is late even there is limited as a less urgent one.
		late = now.Add(l.Rate.Time(own)).After(firstEventBy)
		if !late && now.Add(l.Rate.Time(ahead+own)).After(firstEventBy) {
			return false
		}
	}
	if l.Urgent.Objective == 0 || priority <= l.Urgent.Priority && !late {
		return true
	}
	return l.Rate.Time(ahead) <= time.Duration(backlogShare*float64(l.Urgent.Objective))
}
