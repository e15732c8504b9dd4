package peer

import "time"

// pendingCall is a request that waits for its reply. Calls past their deadline are also removed by checkTimeouts, since a
// cancelCallMessage is dropped if the mailbox is full.
type pendingCall struct {
	reply    chan<- envelope
	deadline time.Time
}
