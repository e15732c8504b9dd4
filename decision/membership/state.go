package membership

// State is the state of one incarnation of a member. Of two records with the same incarnation, the one with the higher
// state is valid.
type State uint8

// States of a member.
const (
	// StateAlive is the state that a running member reports of itself.
	StateAlive State = iota
	// StateSuspect means that a probe was not answered. The member still counts as the owner of its holdings.
	StateSuspect
	// StateLeft means that the member announced its departure.
	StateLeft
	// StateRemoved means that a suspicion was not refuted in time.
	StateRemoved
)

// String returns the name of the state in logs and in the operator API.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateLeft:
		return "left"
	default:
		return "removed"
	}
}

// Present reports whether the member may still be running.
func (s State) Present() bool { return s <= StateSuspect }
