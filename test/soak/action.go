package soak

import (
	"context"
	"time"
)

// action is a function that the injector calls at a scheduled time.
type action struct {
	at time.Time
	do func(ctx context.Context)
}
