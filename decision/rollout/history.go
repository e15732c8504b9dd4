package rollout

import (
	"slices"
	"time"
)

const (
	// periodTime is the time over which the target and the old versions are compared with each other. It is short enough to separate a
	// fault that strikes both from the time before it, and long enough for some tens of answers of the old versions.
	periodTime = 500 * time.Millisecond
	// maxSnapshots bounds the memory of a long roll-out. The periods of the first part are then joined.
	maxSnapshots = 64
)

// history holds the counts of a roll-out at the ends of its periods. The first snapshot is empty, the last one ends the period that
// is still open.
type history struct {
	snapshots []snapshot
	// coldTime is the time after the target's first response in which its times are not compared.
	coldTime time.Duration
}

// record adds the counts of this moment. A new phase begins a new period.
func (h *history) record(e Evidence, p Phase) {
	if len(h.snapshots) == 0 {
		h.snapshots = append(h.snapshots, snapshot{phase: p})
	}
	next := snapshot{at: e.Elapsed, phase: p, tally: e.Tally.Clone()}
	last := len(h.snapshots) - 1
	if last > 0 && h.snapshots[last].phase == p && next.at-h.snapshots[last-1].at < periodTime {
		h.snapshots[last] = next
		return
	}
	h.snapshots = append(h.snapshots, next)
	if len(h.snapshots) > maxSnapshots {
		h.snapshots = slices.Delete(h.snapshots, 1, 2)
	}
}

// newest returns the last snapshot.
func (h *history) newest() *snapshot { return &h.snapshots[len(h.snapshots)-1] }

// before returns the newest snapshot that is not later than a time.
func (h *history) before(at time.Duration) *snapshot {
	for i := len(h.snapshots) - 1; i > 0; i-- {
		if h.snapshots[i].at <= at {
			return &h.snapshots[i]
		}
	}
	return &h.snapshots[0]
}

// coldPeriods returns the number of first periods in which the endpoints of the target had just started. The first response may have
// come at the beginning of its period, which is long for a decider that has taken over.
func (h *history) coldPeriods() int {
	for first := 1; first < len(h.snapshots); first++ {
		if !h.snapshots[first].hasTargetResponse() {
			continue
		}
		for i := first; i < len(h.snapshots); i++ {
			if h.snapshots[i].at >= h.snapshots[first-1].at+h.coldTime {
				return i
			}
		}
	}
	return len(h.snapshots) - 1
}

// promotedPeriod returns the first period of promoting, and the number of periods if promoting has not begun.
func (h *history) promotedPeriod() int {
	for i := 1; i < len(h.snapshots); i++ {
		if h.snapshots[i].phase == Promoting {
			return i - 1
		}
	}
	return len(h.snapshots) - 1
}
