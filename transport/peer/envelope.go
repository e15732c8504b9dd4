package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxKindLength is the longest name of a kind in bytes.
const maxKindLength = 64

// Kinds that the links themselves use.
const (
	kindPing   = "peer.ping"
	kindCancel = "peer.cancel"
)

// envelope is one frame. Its fields have numbers, so that fields can be added while nodes of two versions are connected.
type envelope struct {
	Kind string `cbor:"1,keyasint,omitempty"`
	// ID is 0 for a notice.
	ID    uint64          `cbor:"2,keyasint,omitempty"`
	Reply bool            `cbor:"3,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	// WaitMillis is the time that the caller of a request still waits.
	WaitMillis uint32 `cbor:"5,keyasint,omitempty"`
	// Status and Detail describe the result in a reply.
	Status status `cbor:"6,keyasint,omitempty"`
	Detail string `cbor:"7,keyasint,omitempty"`
}

func (e envelope) encode() ([]byte, error) { return encoding.Marshal(e) }

// decodeEnvelope checks everything that the link relies on; bodies are decoded by their handlers.
func decodeEnvelope(frame []byte) (envelope, error) {
	var e envelope
	if err := decoding.Unmarshal(frame, &e); err != nil {
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

// waitMillis rounds up, so that a wait above zero is never sent as zero.
func waitMillis(d time.Duration) uint32 {
	const most = 1<<32 - 1
	return uint32(min(most, max(1, (d+time.Millisecond-1)/time.Millisecond)))
}
