package peer

import "sync/atomic"

// callState decides atomically whether a call is written to the connection or abandoned by its caller first.
type callState struct {
	value atomic.Uint32
}

const (
	callQueued uint32 = iota
	callWritten
	callAbandoned
)

// tryWrite reports whether the call may be written. After that the caller treats the call as possibly delivered.
func (s *callState) tryWrite() bool { return s.value.CompareAndSwap(callQueued, callWritten) }

// tryAbandon abandons the call unless it was written. It reports whether the call is abandoned and will not be written.
func (s *callState) tryAbandon() bool {
	return s.value.CompareAndSwap(callQueued, callAbandoned) || s.isAbandoned()
}

func (s *callState) isAbandoned() bool { return s.value.Load() == callAbandoned }
