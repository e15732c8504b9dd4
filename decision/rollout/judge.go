package rollout

import (
	"fmt"
	"time"
)

// minWatchTime is the time for which a Judge has received counts before it promotes. The counts of a new decider may be incomplete.
const minWatchTime = time.Second

const (
	// minHandOver is the time before the final phase that a hand-over takes at least, in which the target is observed with all requests.
	minHandOver = 1750 * time.Millisecond
	// firstDoubtShare is the part of the permitted doubt at which the target is promoted at the earliest time.
	firstDoubtShare = 0.2
	// lastChanceTime is the time before the latest promotion in which the whole doubt is permitted.
	lastChanceTime = 500 * time.Millisecond
)

// maxFinalDoubt and maxFinalFault are the weights of a fault, relative to none, above which promoting ends with a revert at the
// deadline.
const maxFinalDoubt, maxFinalFault = 2, 10

// confirmPercent is the part of the hand-over time for which the target is observed with all requests, also if all nodes have
// confirmed earlier. Until then the old endpoints can take the traffic back.
const confirmPercent = 65

// Judge decides about one roll-out. One task owns it, and each order gets a new one.
type Judge struct {
	params JudgeParams
	// first is the time of the first evidence, which counts if watched is set.
	first   time.Duration
	watched bool
	history history
}

// NewJudge returns a Judge without evidence. Bounds that are 0 get their defaults.
func NewJudge(p JudgeParams) *Judge { return &Judge{params: p.withDefaults()} }

// Decide returns the phase that follows from the evidence. A final phase is never left. It is called again with each change of the
// counts, and at least every 250 ms.
func (j *Judge) Decide(p *Plan, e Evidence) Decision {
	if p.Phase != Observing && p.Phase != Promoting {
		return Decision{Phase: p.Phase, Reason: p.Reason}
	}
	if !j.watched {
		j.first, j.watched = e.Elapsed, true
	}
	j.history.coldTime = min(maxColdTime, p.Order.Duration/3)
	j.history.record(e, p.Phase)
	a := assess(&j.history, int(p.Order.Duration/periodTime))
	remaining := p.Order.Duration - e.Elapsed
	switch {
	case a.fault*j.params.Error >= 1:
		return Decision{Phase: Reverted, Reason: a.worst}
	case p.Phase == Observing:
		return j.observe(a, e, remaining)
	default:
		return j.promote(a, e, remaining)
	}
}

// observe decides while the target gets a small share.
func (j *Judge) observe(a assessment, e Evidence, remaining time.Duration) Decision {
	missing := j.missing(a, e, remaining)
	switch {
	case remaining <= j.params.DeadlineMargin:
		if missing == "" && j.isIdle(e) {
			return Decision{Phase: Completed, Reason: "no requests"}
		}
		if missing == "" {
			missing = "too late for a hand-over"
		}
		return Decision{Phase: Reverted, Reason: "insufficient evidence at the deadline: " + missing}
	case remaining > j.params.HandOver:
		return Decision{Phase: Observing, Reason: "observing until the hand-over"}
	case missing != "":
		return Decision{Phase: Observing, Reason: missing}
	case remaining < min(j.params.HandOver, j.params.DeadlineMargin+minHandOver):
		return Decision{Phase: Observing, Reason: "too late for a hand-over"}
	default:
		return Decision{Phase: Promoting, Reason: fmt.Sprintf("no fault found, doubt %.2f", a.doubt)}
	}
}

// promote decides while the target gets all new requests.
func (j *Judge) promote(a assessment, e Evidence, remaining time.Duration) Decision {
	atDeadline := remaining <= j.params.DeadlineMargin
	since := max(j.first, j.history.snapshots[j.history.promotedPeriod()].at)
	switch {
	case atDeadline && e.TargetEndpoints == 0:
		return Decision{Phase: Reverted, Reason: "the target has no endpoint at the deadline"}
	case atDeadline && (a.doubt > maxFinalDoubt || a.fault > maxFinalFault):
		return Decision{Phase: Reverted, Reason: "a fault is likely at the deadline: " + a.worst}
	case atDeadline:
		return Decision{Phase: Completed, Reason: fmt.Sprintf("at the deadline with %d nodes unconfirmed", e.Unconfirmed)}
	case e.TargetEndpoints == 0, e.Unconfirmed > 0, a.doubt > 1, e.Elapsed-since < j.params.HandOver*confirmPercent/100:
		return Decision{Phase: Promoting, Reason: fmt.Sprintf("handing over, %d nodes unconfirmed", e.Unconfirmed)}
	default:
		return Decision{Phase: Completed, Reason: "confirmed by all nodes"}
	}
}

// missing returns what is lacking before the target can be promoted, and an empty string if nothing is.
func (j *Judge) missing(a assessment, e Evidence, remaining time.Duration) string {
	switch {
	case e.TargetEndpoints == 0:
		return "the target has no endpoint"
	case e.Elapsed-j.first < minWatchTime:
		return "the decider has just begun to observe"
	case 2*e.TargetEndpoints < e.OldEndpoints:
		return fmt.Sprintf("the target has %d endpoints, the old versions have %d", e.TargetEndpoints, e.OldEndpoints)
	case j.isIdle(e):
		return ""
	case e.Tally.Sends(OldGroup) == 0, a.doubt > j.permittedDoubt(remaining):
		return fmt.Sprintf("doubt %.2f, %s", a.doubt, a.worst)
	case a.scarce != "":
		return "few answers: " + a.scarce
	case a.unsettled && remaining > j.params.DeadlineMargin+minHandOver+lastChanceTime:
		return "the old versions have a fault at the moment"
	default:
		return ""
	}
}

// permittedDoubt returns the doubt at which the target is promoted. It is small at first, since waiting for more answers costs only a
// part of the hand-over time, and rises until the time that is needed at least.
func (j *Judge) permittedDoubt(remaining time.Duration) float64 {
	latest := j.params.DeadlineMargin + minHandOver + lastChanceTime
	if j.params.HandOver <= latest || remaining <= latest {
		return j.params.Doubt
	}
	early := min(1, float64(remaining-latest)/float64(j.params.HandOver-latest))
	return j.params.Doubt * (1 - early*(1-firstDoubtShare))
}

// isIdle reports whether the service has had no request since the order.
func (j *Judge) isIdle(e Evidence) bool {
	return e.Tally.Sends(OldGroup) == 0 && e.Tally.Sends(TargetGroup) == 0
}
