package edge

import (
	"time"

	"azuredyke.dev/azuredyke/transport/peer"
)

// maxSyncTimeout bounds the time that a reply may take beyond its wait, so that a node soon leaves a relay that is silent.
const maxSyncTimeout = time.Second

// syncPatience is the time that one task gives the replies to its sync requests. A reply that is cut off by the timeout has used the
// link of its sender for nothing, and the same changes are sent again for the next request, so each such reply doubles the time.
type syncPatience struct {
	timeout time.Duration
}

// current returns the time that a reply may take beyond its wait.
func (p *syncPatience) current() time.Duration { return max(syncTimeout, p.timeout) }

// record records the outcome of a request. Only one that was delivered shows that its reply needs more time.
func (p *syncPatience) record(err error) {
	switch {
	case err == nil:
		p.recordReply()
	case peer.ErrMayBeDelivered.Has(err):
		p.recordTimeout()
	}
}

// recordReply records a reply in time.
func (p *syncPatience) recordReply() { p.timeout = syncTimeout }

// recordTimeout records a request that was delivered and got no reply in time.
func (p *syncPatience) recordTimeout() { p.timeout = min(maxSyncTimeout, 2*p.current()) }
