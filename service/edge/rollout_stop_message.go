package edge

// rolloutStopMessage sets whether the target of a service's roll-out gets nothing although the plan says otherwise.
type rolloutStopMessage struct {
	service string
	// revision is the revision of the plan's order.
	revision int64
	stopped  bool
}

func (m rolloutStopMessage) apply(d *dispatcher) {
	if d.table.SetRolloutStopped(m.service, m.revision, m.stopped) {
		d.notifyDepartures()
		d.retryWaiting()
	}
}
