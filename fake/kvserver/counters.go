package kvserver

import (
	"maps"
	"time"
)

// Counters counts the calls that were let in.
type Counters struct {
	Calls map[CallKind]int64
	// Writes and Reads are sums over the kinds.
	Writes int64
	Reads  int64
	// PeakWrites and PeakReads are the highest numbers in one second of the clock.
	PeakWrites int64
	PeakReads  int64
	// Refused counts the calls beyond the rates; RefusedByOutage those that came during an outage.
	Refused         int64
	RefusedByOutage int64
	// OpenWatches is the present number, and PeakWatches the highest.
	OpenWatches int
	PeakWatches int

	second       int64
	writesSecond int64
	readsSecond  int64
}

func newCounters() Counters { return Counters{Calls: map[CallKind]int64{}} }

// add counts one call.
func (c *Counters) add(kind CallKind, write bool, now time.Time) {
	c.Calls[kind]++
	if second := now.Unix(); second != c.second {
		c.second, c.writesSecond, c.readsSecond = second, 0, 0
	}
	if write {
		c.Writes++
		c.writesSecond++
		c.PeakWrites = max(c.PeakWrites, c.writesSecond)
		return
	}
	c.Reads++
	c.readsSecond++
	c.PeakReads = max(c.PeakReads, c.readsSecond)
}

// clone returns a copy for a reader.
func (c *Counters) clone() Counters {
	out := *c
	out.Calls = maps.Clone(c.Calls)
	return out
}
