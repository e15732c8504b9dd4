package peer

import "time"

// pendingCall is a request that waits for its reply. Calls past their deadline are forgotten at the next check, since
// the message that says so may have found the mailbox full.
type pendingCall struct {
	reply    chan<- envelope
	deadline time.Time
}
