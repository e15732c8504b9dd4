package edge

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
)

// largeConfiguration returns a configuration of about a megabyte, the largest value that the platform's store takes, with names as the
// platform makes them.
func largeConfiguration() []byte {
	random := rand.New(rand.NewPCG(1, 2))
	name := func(n int) string {
		letters := make([]byte, n)
		for i := range letters {
			letters[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[random.IntN(36)]
		}
		return string(letters)
	}
	var b strings.Builder
	b.WriteString(`{"version":7,"routes":[`)
	for b.Len() < 1<<20 {
		fmt.Fprintf(&b, `{"name":"r-%s","hostname":"%s.example","pathPrefix":"/%s/%s/","type":"idempotent","timeoutMs":2500,"sloMs":150,`+
			`"priority":2,"service":"wuno96b","maxAttempts":2,"public":false,"sticky":false,"resumable":false,"gapSloMs":0},`,
			name(7), name(6), name(8), name(5))
	}
	return []byte(b.String())
}

// Guards against a configuration that the links of the smallest nodes, 10 Mbit/s, do not carry within the time of a reply, so that it is
// sent again and again.
func TestLargestConfigurationPassesTheSmallestLinkInTime(t *testing.T) {
	linkBytes := 10e6 / 8 * syncTimeout.Seconds()
	packed := packValue(largeConfiguration())
	assert.Assert(t, float64(len(packed)) <= linkBytes, "%d bytes, the link carries %.0f", len(packed), linkBytes)
}

// Guards against a relay that spends its processor time on compressing one configuration for each node of its data centre, or sends an
// older one.
func TestValuesArePackedOnce(t *testing.T) {
	p := newValuePacker()
	event := func(revision int64) []backing.WatchEvent {
		value := []byte(strings.Repeat(fmt.Sprint("value ", revision), minPackedBytes))
		return []backing.WatchEvent{
			{Entry: backing.Entry{Key: "small", Value: []byte("small"), ModRevision: revision}},
			{Entry: backing.Entry{Key: "large", Value: value, ModRevision: revision}},
		}
	}
	for _, revision := range []int64{3, 3, 4} {
		before := p.kept["large"].data
		events := event(revision)
		packed := p.pack(events)
		assert.Equal(t, len(packed), 1)
		assert.Equal(t, revision == 3 && before != nil, before != nil && &before[0] == &packed[0].Data[0])
		assert.Equal(t, len(events[1].Entry.Value), 0)
		assert.NilError(t, unpackValues(events, packed))
		assert.DeepEqual(t, events, event(revision))
	}
	p.forget(backing.WatchEvent{Entry: backing.Entry{Key: "large", ModRevision: 5}, Deleted: true})
	assert.Equal(t, len(p.kept), 0)
}

// Guards against a reply that makes a node panic or fills its memory.
func TestUnusablePackedValuesAreRefused(t *testing.T) {
	events := []backing.WatchEvent{{Entry: backing.Entry{Key: "a"}}}
	bomb := packValue(make([]byte, maxUnpackedBytes+1))
	for _, packed := range []packedValue{{Event: 1}, {Event: -1}, {Data: []byte("not compressed")}, {Data: bomb}} {
		assert.Assert(t, unpackValues(events, []packedValue{packed}) != nil, "event %d", packed.Event)
	}
}
