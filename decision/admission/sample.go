package admission

import "time"

// sample is the work that a load report counted at one moment.
type sample struct {
	taken time.Time
	work  int
}

// ended is a grant whose end was reported.
type ended struct {
	granted, ended time.Time
}
