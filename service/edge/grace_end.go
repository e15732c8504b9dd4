package edge

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// errGraceEnded is the cause of the cancellation of the requests that are left at the end of the grace period.
var errGraceEnded = errors.New("the grace period of the stopping node has ended")

// graceEnd is the end of the time that a stopping node gives its requests.
type graceEnd struct {
	at atomic.Pointer[time.Time]
	// ctx ends at that time.
	ctx    context.Context
	cancel context.CancelFunc
}

func newGraceEnd() *graceEnd {
	g := &graceEnd{}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

// set sets the time, which marks the node as stopping.
func (g *graceEnd) set(at time.Time) {
	g.at.Store(&at)
	time.AfterFunc(time.Until(at), g.cancel)
}

// isSet reports whether the node is stopping.
func (g *graceEnd) isSet() bool { return g.at.Load() != nil }
