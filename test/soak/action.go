package soak

import (
	"context"
	"time"
)

// action is something that the injector does at a moment.
type action struct {
	at time.Time
	do func(ctx context.Context)
}
