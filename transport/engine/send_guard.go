package engine

import (
	"errors"
	"sync/atomic"
	"time"
)

// ErrGrantLapsed means that the deadline of the grant passed before the first byte of the request was sent.
var ErrGrantLapsed = errors.New("the grant lapsed before the request could be sent")

// sendGuard decides at the first write of a request whether the request may still be sent, and records whether it was sent.
type sendGuard struct {
	// deadline is the latest time for the first byte. Zero means no limit.
	deadline time.Time
	sent     atomic.Bool
	// lapsed is set once a write was refused because the deadline had passed.
	lapsed atomic.Bool
}

// checkWrite is called before each write. It returns an error only if no byte of the request was sent.
func (s *sendGuard) checkWrite(now time.Time) error {
	if s.sent.Load() {
		return nil
	}
	if !s.deadline.IsZero() && now.After(s.deadline) {
		s.lapsed.Store(true)
		return ErrGrantLapsed
	}
	s.sent.Store(true)
	return nil
}

// cause returns the cause of a failed request. After a refused write, the transport reports either the error of the write or that of a
// read on the connection that it closes.
func (s *sendGuard) cause(err error) error {
	if s.lapsed.Load() {
		return ErrGrantLapsed
	}
	return err
}
