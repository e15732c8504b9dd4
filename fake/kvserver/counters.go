package kvserver

import (
	"maps"
	"time"
)

// Counters counts the admitted and the refused calls.
type Counters struct {
	Calls map[CallKind]int64
	// Writes and Reads are the numbers of admitted calls, summed over the kinds.
	Writes int64
	Reads  int64
	// PeakWrites and PeakReads are the highest numbers of calls within one second of Unix time.
	PeakWrites int64
	PeakReads  int64
	// Refused counts the calls refused by the rate limits; RefusedByOutage counts the calls received during an outage.
	Refused         int64
	RefusedByOutage int64
	// OpenWatches is the current number of open watches; PeakWatches is the highest number.
	OpenWatches int
	PeakWatches int

	second       int64
	writesSecond int64
	readsSecond  int64
}

func newCounters() Counters { return Counters{Calls: map[CallKind]int64{}} }

// add counts one admitted call.
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

// clone returns a copy that other goroutines may read.
func (c *Counters) clone() Counters {
	out := *c
	out.Calls = maps.Clone(c.Calls)
	return out
}
