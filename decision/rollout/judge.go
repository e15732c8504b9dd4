package rollout

// Judge decides about one roll-out. One task owns it.
type Judge struct {
	params JudgeParams
}

// NewJudge returns a Judge without evidence.
func NewJudge(p JudgeParams) *Judge { return &Judge{params: p} }

// Decide returns the phase that follows from the evidence. A final phase is never left.
func (j *Judge) Decide(p *Plan, _ Evidence) Decision {
	return Decision{Phase: p.Phase, Reason: p.Reason}
}
