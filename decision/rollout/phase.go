package rollout

// Phase is the phase of a roll-out.
type Phase uint8

const (
	// NoPhase is the zero value: there is no roll-out.
	NoPhase Phase = iota
	// Observing means that the target gets a small share of the requests while its answers are compared with those of the old
	// versions.
	Observing
	// Promoting means that all new requests go to the target, while the runs on old endpoints end or move.
	Promoting
	// Completed means that the old endpoints may stop. It is final.
	Completed
	// Reverted means that the target's endpoints get no requests. It is final.
	Reverted
)

// IsFinal reports whether the phase is never left.
func (p Phase) IsFinal() bool { return p == Completed || p == Reverted }

// String returns the name of the phase for logs and metrics.
func (p Phase) String() string {
	switch p {
	case Observing:
		return "observing"
	case Promoting:
		return "promoting"
	case Completed:
		return "completed"
	case Reverted:
		return "reverted"
	default:
		return "none"
	}
}
