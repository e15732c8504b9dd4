package edge

import "azuredyke.dev/azuredyke/decision/rollout"

// sendOptions describes how an attempt differs from a request's first one.
type sendOptions struct {
	// endpoint is the id of the endpoint at which a run must continue; empty means any.
	endpoint string
	// exclude lists the endpoints at which the run must not continue.
	exclude []string
	// copyAddress and copyHandle identify the copy of the run's memory from which the run continues. Without them, the run
	// starts over.
	copyAddress string
	copyHandle  string
	// copyPending is set if the copy has not been made yet.
	copyPending bool
	// sourceDataCentre is the data centre from which the copy will be made.
	sourceDataCentre string
	// spareMemoryOnly is set for a standby copy, which may only use memory that other runs do not need.
	spareMemoryOnly bool
	// lastEvent is the id of the last event that the caller has received.
	lastEvent string
	// group is the group of the run that continues, in the roll-out of its service.
	group rollout.Group
}

// continues reports whether the run continues from a copy instead of starting over.
func (o sendOptions) continues() bool { return o.copyAddress != "" || o.copyPending }

// startsOver reports whether the attempt continues neither from a copy nor after an event that the caller has received.
func (o sendOptions) startsOver() bool { return !o.continues() && o.lastEvent == "" }
