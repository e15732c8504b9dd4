package edge

// departure says what leaves.
type departure uint8

const (
	// endpointLeaves means that the endpoint that runs the request leaves.
	endpointLeaves departure = iota
	// backupLeaves means that the endpoint that keeps a copy of the run's memory leaves.
	backupLeaves
)
