package soak

import "time"

// departed says when a worker's leaving was acknowledged, or a data centre was out until back.
type departed struct {
	name       string
	acked      time.Time
	back       time.Time
	dataCentre bool
}
