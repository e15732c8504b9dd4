package soak

import "time"

// departure records when a worker's announced leave was acknowledged, or for how long a data centre was out of service.
type departure struct {
	name           string
	acknowledgedAt time.Time
	// returnedAt is when the data centre returned to service; zero for workers and while it is out.
	returnedAt   time.Time
	isDataCentre bool
}
