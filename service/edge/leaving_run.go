package edge

// leavingRun is an open run whose session wants to know when one of its endpoints leaves.
type leavingRun struct {
	service string
	// endpoint and backup are empty once the session has been told, or when there is none.
	endpoint string
	backup   string
	// copies is set while only a copy of the run's memory is at the endpoint.
	copies bool
	// notify has room for one departure of each.
	notify chan<- departure
}

// tell sends the departures that are new, and reports whether any may still come. A run may end at an endpoint whose data
// centre was taken out; a copy there is of no use, since no run may go on from it.
func (r *leavingRun) tell(stays func(service, endpoint string, copies bool) bool) bool {
	if r.endpoint != "" && !stays(r.service, r.endpoint, r.copies) {
		r.endpoint = ""
		r.notify <- endpointLeaves
	}
	if r.backup != "" && !stays(r.service, r.backup, true) {
		r.backup = ""
		r.notify <- backupLeaves
	}
	return r.endpoint != "" || r.backup != ""
}
