package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxKindLength is the maximum length of a kind in bytes.
const maxKindLength = 64

// Kinds of the requests that links send themselves.
const (
	kindPing   = "peer.ping"
	kindCancel = "peer.cancel"
)

// envelope is the content of a frame. The encoded fields have numbers instead of names, and unknown numbers are ignored, so
// that fields can be added while nodes of two versions are connected.
type envelope struct {
	Kind string `cbor:"1,keyasint,omitempty"`
	// ID is 0 for a notice.
	ID    uint64          `cbor:"2,keyasint,omitempty"`
	Reply bool            `cbor:"3,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	// WaitMillis is the time until the deadline of a request in milliseconds.
	WaitMillis uint32 `cbor:"5,keyasint,omitempty"`
	// Status and Detail describe the result in a reply.
	Status status `cbor:"6,keyasint,omitempty"`
	Detail string `cbor:"7,keyasint,omitempty"`
}

func (e envelope) encode() ([]byte, error) { return encMode.Marshal(e) }

// decodeEnvelope decodes a frame and checks all fields that the link depends on. Handlers decode the body.
func decodeEnvelope(frame []byte) (envelope, error) {
	var e envelope
	if err := decMode.Unmarshal(frame, &e); err != nil {
		return envelope{}, Error.Wrap(err)
	}
	switch {
	case e.Reply && e.ID == 0:
		return envelope{}, Error.New("reply without id")
	case !e.Reply && (e.Kind == "" || len(e.Kind) > maxKindLength):
		return envelope{}, Error.New("kind of %d bytes", len(e.Kind))
	}
	return e, nil
}

// toWaitMillis converts a duration to milliseconds. It rounds up, so that a positive wait is never sent as zero.
func toWaitMillis(d time.Duration) uint32 {
	const maxMillis = 1<<32 - 1
	return uint32(min(maxMillis, max(1, (d+time.Millisecond-1)/time.Millisecond)))
}
