package rollout

import "time"

// JudgeParams holds the bounds of a verdict.
type JudgeParams struct {
	// HandOver is the time that all nodes need to follow a plan and to end or move their runs on old endpoints.
	HandOver time.Duration
	// DeadlineMargin is the time before the deadline at which the final phase is written at the latest.
	DeadlineMargin time.Duration
}
