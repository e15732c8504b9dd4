package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// rolloutDuration is the duration of the order, and rolloutPollInterval the interval at which its status is read.
	rolloutDuration     = 12 * time.Second
	rolloutPollInterval = 50 * time.Millisecond
	// drainTime is the time from the status reverted until the endpoints of the target end.
	drainTime = 3 * time.Second
	// oldVersion and targetVersion are the versions of the site's workers.
	oldVersion, targetVersion = "v1", "v2"
)

// rolloutPlan is the roll-out of one run.
type rolloutPlan struct {
	service string
	// orderedAt is the time from the start of the plan to the order.
	orderedAt time.Duration
	// isBad is set if the target fails, from badAfter the order on.
	isBad    bool
	badAfter time.Duration
}

// newRolloutPlan draws the plan of a seed with a roll-out among its faults.
func newRolloutPlan(seed uint64, length time.Duration, kinds []weighted[faultKind]) plan {
	p := newPlan(seed, length, kinds)
	random := rand.New(rand.NewPCG(seed, 3))
	p.rollout = &rolloutPlan{
		service: []string{"engines", "desk"}[random.IntN(2)], orderedAt: firstFaultDelay + time.Duration(random.Int64N(int64(2*time.Second))),
		isBad: random.IntN(2) == 0,
	}
	if p.rollout.isBad && random.IntN(2) == 0 {
		p.rollout.badAfter = time.Duration(random.Int64N(int64(4 * time.Second)))
	}
	return p
}

// slots returns the slots of the service's workers.
func (r *rolloutPlan) slots() (from, to int) {
	if r.service == "engines" {
		return 0, engineCount
	}
	return engineCount, workerCount
}

// String implements fmt.Stringer.
func (r *rolloutPlan) String() string {
	return fmt.Sprintf("%6.2fs roll-out of %s, bad: %t, after %v", r.orderedAt.Seconds(), r.service, r.isBad, r.badAfter)
}
