package rollout

// Decision is the phase that a roll-out is to have now, with the reason for operators.
type Decision struct {
	Phase  Phase
	Reason string
}
