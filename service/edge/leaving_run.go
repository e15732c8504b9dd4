package edge

// leavingRun is an open run whose session wants to know when one of its endpoints leaves.
type leavingRun struct {
	service string
	// endpoint and backup are empty once the session has been told, or when there is none.
	endpoint string
	backup   string
	// notify has room for one departure of each.
	notify chan<- departure
}

// tell sends the departures that are new, and reports whether any may still come.
func (r *leavingRun) tell(stays func(service, endpoint string) bool) bool {
	if r.endpoint != "" && !stays(r.service, r.endpoint) {
		r.endpoint = ""
		r.notify <- endpointLeaves
	}
	if r.backup != "" && !stays(r.service, r.backup) {
		r.backup = ""
		r.notify <- backupLeaves
	}
	return r.endpoint != "" || r.backup != ""
}
