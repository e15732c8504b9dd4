package peer

import (
	"math/rand/v2"
	"time"
)

// backoff is the state of an address that could not be dialled.
type backoff struct {
	failures int
	until    time.Time
}

// next returns the state after one more failure. The wait doubles with each failure, up to maxWait. Half of the wait is
// random, so that nodes that lost the same peer do not dial it at the same time.
func (b backoff) next(now time.Time, minWait, maxWait time.Duration) backoff {
	wait := maxWait
	if b.failures < 16 {
		wait = min(maxWait, minWait<<b.failures)
	}
	wait = wait/2 + rand.N(wait/2+1)
	return backoff{failures: b.failures + 1, until: now.Add(wait)}
}
