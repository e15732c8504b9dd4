package edge

// sendOptions says how a sending differs from a request's first one.
type sendOptions struct {
	// at is the endpoint on which a run must go on; empty means any.
	at string
	// exclude lists endpoints on which it must not.
	exclude []string
	// copyAddress and copyHandle name the copy of the run's memory from which it goes on; without them it starts anew.
	copyAddress string
	copyHandle  string
	// moves is set while the copy is still to be made.
	moves bool
	// spare is set for a copy that stands by, which only takes memory that will not be missed.
	spare bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
}

// continues reports whether the run goes on and is not started anew.
func (o sendOptions) continues() bool { return o.copyAddress != "" || o.moves }
