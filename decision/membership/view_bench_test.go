package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSecond measures the work of one node in one second, in a fleet of 1,500: a sent probe, an answered probe, the
// check of the suspicions, and one changed member with a new table.
func BenchmarkSecond(b *testing.B) {
	v, other := newView("a"), newView("m0")
	for i := range 1499 {
		m := member(fmt.Sprint("m", i), 1, StateAlive)
		v.merge(start, m)
		other.merge(start, m)
	}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Second)
		v.Tick(now)
		v.NextProbe(now)
		probe(now, v, other)
		v.Receive(now, Message{From: "m1", Updates: []Member{member("m1", uint64(i+2), StateAlive)}})
		v.Table()
	}
}
