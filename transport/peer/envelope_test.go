package peer

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against invalid frames that crash the link or pass its checks.
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

// Guards against a short wait that is sent as zero, and against an overflow by a long wait.
func TestWaitMillisRoundsUpAndSaturates(t *testing.T) {
	assert.Equal(t, toWaitMillis(1), uint32(1))
	assert.Equal(t, toWaitMillis(1500*time.Microsecond), uint32(2))
	assert.Equal(t, toWaitMillis(1<<62), uint32(1<<32-1))
}

// Guards against frames with more than one interpretation, and against frames with a length beyond their end.
func TestMalformedFramesAreRefused(t *testing.T) {
	for name, frame := range map[string]string{
		"empty": "", "truncated": "\xa3\x01\x64echo\x02", "duplicate key": "\xa2\x01\x61a\x01\x61b",
		"length beyond the frame": "\xa2\x01\x61a\x04\x9b\xff\xff\xff\xff\xff\xff\xff\xff", "reply without id": "\xa1\x03\xf5",
		"request without kind": "\xa1\x02\x01", "deep nesting": "\xa2\x01\x61a\x04" + strings.Repeat("\x81", 40) + "\x00",
		"indefinite length": "\xbf\x01\x61a\xff", "long kind": "\xa1\x01\x78\x50" + strings.Repeat("k", 0x50),
	} {
		_, err := decodeEnvelope([]byte(frame))
		assert.Assert(t, err != nil, name)
	}
	e, err := decodeEnvelope([]byte("\xa3\x01\x61a\x02\x01\x18\x63\x01"))
	assert.NilError(t, err, "a field of a later version")
	assert.Equal(t, e.Kind, "a")
}
