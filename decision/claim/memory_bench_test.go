package claim

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// BenchmarkMemory measures the memory of a claim with a short outcome, in B/claim, for several sizes of the set. Run it
// with -benchtime 1x.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{50_000, 100_000, 200_000, 400_000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			before := heapInUse()
			s := NewSet(time.Hour)
			for i := range n {
				s.Replay(newFinishedRecord(i))
			}
			b.ReportMetric(float64(heapInUse()-before)/float64(n), "B/claim")
			runtime.KeepAlive(s)
		})
	}
}

func newFinishedRecord(i int) Record {
	r := Record{
		Kind: KindFinished, Fingerprint: uint64(i), Attempt: fmt.Sprintf("%024x", i), At: time.UnixMilli(int64(i)),
		Outcome: &message.ClaimOutcome{Status: 200, ContentType: "application/json", Body: make([]byte, 64)},
	}
	binary.LittleEndian.PutUint64(r.Key[:], uint64(i))
	return r
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
