package overload

import (
	"math"
	"time"
)

const (
	// useHalfLife is the time after which the weight of an ended run has halved. It covers the run times of long requests.
	useHalfLife = 10 * time.Second
	// maxShortShare bounds the share of the memory that is kept free for short requests.
	maxShortShare = 0.2
)

// MemoryUse learns which share of the memory in use belongs to short requests. They hold memory for less than a second each and come
// more often than long ones, so that they need a part of it at any time. The zero value has seen no run.
type MemoryUse struct {
	short, all float64
	at         time.Time
}

// Record records a run that ended.
func (u *MemoryUse) Record(now time.Time, tokens int, held time.Duration, long bool) {
	if !u.at.IsZero() {
		factor := math.Exp2(-now.Sub(u.at).Seconds() / useHalfLife.Seconds())
		u.short, u.all = u.short*factor, u.all*factor
	}
	u.at = now
	used := float64(tokens) * held.Seconds()
	u.all += used
	if !long {
		u.short += used
	}
}

// ShortShare returns the share of the memory that short requests use.
func (u *MemoryUse) ShortShare() float64 {
	if u.all <= 0 {
		return 0
	}
	return min(maxShortShare, u.short/u.all)
}
