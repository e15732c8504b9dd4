package edge

// departure identifies which endpoint of a run is leaving.
type departure uint8

const (
	// endpointLeaving means that the endpoint that runs the request is leaving.
	endpointLeaving departure = iota
	// backupLeaving means that the endpoint that holds a copy of the run's memory is leaving.
	backupLeaving
)
