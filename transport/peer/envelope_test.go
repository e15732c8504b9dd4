package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against frames of an unauthenticated or faulty sender that crash the link or pass its checks.
func FuzzDecodeEnvelope(f *testing.F) {
	for _, e := range []envelope{
		{Kind: "place.request", ID: 7, Body: []byte{0x01}, WaitMillis: 1500},
		{Reply: true, ID: 7, Status: statusFailed, Detail: "no stock"},
		{Kind: "member.probe", Body: []byte{0xa0}},
	} {
		data, err := e.encode()
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		e, err := decodeEnvelope(frame)
		if err != nil {
			return
		}
		if !e.Reply && e.Kind == "" || e.Reply && e.ID == 0 {
			t.Fatalf("accepted %+v", e)
		}
		data, err := e.encode()
		assert.NilError(t, err)
		again, err := decodeEnvelope(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, e, again)
	})
}

// Guards against a short wait that is sent as no wait, and one that wraps around.
func TestWaitMillisRoundsUpAndSaturates(t *testing.T) {
	assert.Equal(t, waitMillis(1), uint32(1))
	assert.Equal(t, waitMillis(1500*time.Microsecond), uint32(2))
	assert.Equal(t, waitMillis(1<<62), uint32(1<<32-1))
}
