package rollout

import (
	"time"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// testJudge decides by simple bounds, so that the tests of the tasks do not depend on those of the verdict.
type testJudge struct{}

func (testJudge) Decide(p *rollout.Plan, e rollout.Evidence) rollout.Decision {
	answers, failures := int64(0), int64(0)
	for _, entry := range e.Tally.Entries {
		if entry.Group == rollout.TargetGroup {
			answers += entry.Answers
			failures += entry.Failures
		}
	}
	isDue := e.Elapsed >= p.Order.Duration-time.Second
	switch {
	case failures >= 20, isDue && p.Phase == rollout.Observing:
		return rollout.Decision{Phase: rollout.Reverted, Reason: "failures or no evidence"}
	case p.Phase == rollout.Promoting && (e.Unconfirmed == 0 || isDue):
		return rollout.Decision{Phase: rollout.Completed, Reason: "confirmed"}
	case p.Phase == rollout.Observing && e.Elapsed >= 4*time.Second && answers >= 20:
		return rollout.Decision{Phase: rollout.Promoting, Reason: "enough good answers"}
	default:
		return rollout.Decision{Phase: p.Phase}
	}
}
