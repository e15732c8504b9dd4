package edge

// leavingRun is an open run whose session is notified when one of the run's endpoints is leaving.
type leavingRun struct {
	service string
	// endpoint and backup are empty if there is none or the session has been notified of its departure.
	endpoint string
	backup   string
	// copyPending is set if the endpoint holds only a copy of the run's memory.
	copyPending bool
	// notify has capacity for one departure of each endpoint.
	notify chan<- departure
}

// notifyDepartures sends the new departures and reports whether further ones are possible. A run may finish at an endpoint
// whose data centre is out of service, but no run may continue from a copy there.
func (r *leavingRun) notifyDepartures(available func(service, endpoint string, copies bool) bool) bool {
	if r.endpoint != "" && !available(r.service, r.endpoint, r.copyPending) {
		r.endpoint = ""
		r.notify <- endpointLeaving
	}
	if r.backup != "" && !available(r.service, r.backup, true) {
		r.backup = ""
		r.notify <- backupLeaving
	}
	return r.endpoint != "" || r.backup != ""
}
