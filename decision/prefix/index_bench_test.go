package prefix

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkEntryBytes measures the memory of an entry of a full index.
func BenchmarkEntryBytes(b *testing.B) {
	indexes := make([]*Index, 0, b.N)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		x := NewIndex()
		for i := range maxEntries {
			x.Record(Chain(nil).Append(fmt.Sprint(i), 100), 200, &Engine{Number: 1})
		}
		indexes = append(indexes, x)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(indexes)*maxEntries), "B/entry")
	runtime.KeepAlive(indexes)
}
