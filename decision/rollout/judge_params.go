package rollout

import (
	"cmp"
	"time"
)

// JudgeParams holds the bounds of a verdict.
type JudgeParams struct {
	// HandOver is the time that all nodes need to follow a plan and to end or move their runs on old endpoints.
	HandOver time.Duration
	// DeadlineMargin is the time before the deadline at which the final phase is written at the latest.
	DeadlineMargin time.Duration
	// Error is the probability that a good version is reverted for its answers, over the whole observation.
	Error float64
	// Doubt is the likelihood ratio of a fault below which the target is promoted. It is below 1, the ratio without evidence.
	Doubt float64
}

// DefaultJudgeParams returns the bounds for the users' platform.
func DefaultJudgeParams() JudgeParams {
	return JudgeParams{HandOver: 4 * time.Second, DeadlineMargin: time.Second, Error: 0.01, Doubt: 0.9}
}

// withDefaults returns the bounds with the defaults for those that are 0.
func (p JudgeParams) withDefaults() JudgeParams {
	d := DefaultJudgeParams()
	return JudgeParams{
		HandOver: cmp.Or(p.HandOver, d.HandOver), DeadlineMargin: cmp.Or(p.DeadlineMargin, d.DeadlineMargin),
		Error: cmp.Or(p.Error, d.Error), Doubt: cmp.Or(p.Doubt, d.Doubt),
	}
}
