package engine

import (
	"errors"
	"sync/atomic"
	"time"
)

// ErrTooLate means that the grant lapsed before the first byte of the request was sent.
var ErrTooLate = errors.New("the grant lapsed before the request could be sent")

// gate decides, at the moment of the first write, whether a request may still be sent, and remembers whether it was.
type gate struct {
	// latest is the last moment for the first byte; zero means no limit.
	latest time.Time
	sent   atomic.Bool
}

// pass is called before each write. It fails only while no byte was sent.
func (g *gate) pass(now time.Time) error {
	if g.sent.Load() {
		return nil
	}
	if !g.latest.IsZero() && now.After(g.latest) {
		return ErrTooLate
	}
	g.sent.Store(true)
	return nil
}
