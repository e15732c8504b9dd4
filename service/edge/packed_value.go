package edge

import (
	"bytes"
	"compress/flate"
	"io"

	"azuredyke.dev/azuredyke/backing"
)

const (
	// minPackedBytes is the size of a value from which it is compressed. Entries of nodes and endpoints are smaller.
	minPackedBytes = 4 << 10
	// maxUnpackedBytes bounds a decompressed value. It exceeds the largest value that stores accept by far.
	maxUnpackedBytes = 16 << 20
)

// packedValue is the compressed value of an event in a sync reply.
type packedValue struct {
	// Event is the index of the event, whose own value is empty.
	Event int    `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

// packValue compresses a value. Configurations repeat the names of their fields for each route, so the fastest level makes them several
// times smaller.
func packValue(value []byte) []byte {
	var packed bytes.Buffer
	// Neither an unknown level nor a failing writer can occur here.
	writer, _ := flate.NewWriter(&packed, flate.BestSpeed)
	_, _ = writer.Write(value)
	_ = writer.Close()
	return packed.Bytes()
}

// unpackValues sets the values of the events that were sent compressed.
func unpackValues(events []backing.WatchEvent, packed []packedValue) error {
	for _, p := range packed {
		if p.Event < 0 || p.Event >= len(events) {
			return Error.New("compressed value of event %d of %d", p.Event, len(events))
		}
		value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), maxUnpackedBytes+1))
		if err != nil {
			return Error.Wrap(err)
		}
		if len(value) > maxUnpackedBytes {
			return Error.New("compressed value of %q exceeds %d bytes", events[p.Event].Entry.Key, maxUnpackedBytes)
		}
		events[p.Event].Entry.Value = value
	}
	return nil
}
