package peer

import "sync/atomic"

// callState settles whether a call was handed to the connection before its caller gave up.
type callState struct {
	value atomic.Uint32
}

const (
	callQueued uint32 = iota
	callWritten
	callAbandoned
)

// write reports whether the call may be written; the caller then counts it as possibly delivered.
func (s *callState) write() bool { return s.value.CompareAndSwap(callQueued, callWritten) }

// abandon reports whether the call was not written and never will be.
func (s *callState) abandon() bool {
	return s.value.CompareAndSwap(callQueued, callAbandoned) || s.abandoned()
}

func (s *callState) abandoned() bool { return s.value.Load() == callAbandoned }
