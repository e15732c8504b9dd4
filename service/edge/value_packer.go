package edge

import "azuredyke.dev/azuredyke/backing"

// valuePacker compresses the large values of sync replies. It keeps the result for the newest value of each key, since all nodes of a
// data centre ask a relay for the same change. It is not safe for concurrent use; the view task owns it.
type valuePacker struct {
	kept map[string]keptValue
}

// keptValue is the compressed value of one revision of a key.
type keptValue struct {
	revision int64
	data     []byte
}

func newValuePacker() *valuePacker { return &valuePacker{kept: map[string]keptValue{}} }

// pack removes the large values from events and returns them compressed.
func (p *valuePacker) pack(events []backing.WatchEvent) []packedValue {
	var packed []packedValue
	for i := range events {
		e := &events[i].Entry
		if len(e.Value) < minPackedBytes {
			continue
		}
		known := p.kept[e.Key]
		if known.revision != e.ModRevision {
			known = keptValue{revision: e.ModRevision, data: packValue(e.Value)}
			p.kept[e.Key] = known
		}
		packed = append(packed, packedValue{Event: i, Data: known.data})
		e.Value = nil
	}
	return packed
}

// forget drops the results of keys that were deleted or now have small values.
func (p *valuePacker) forget(e backing.WatchEvent) {
	if e.Deleted || len(e.Entry.Value) < minPackedBytes {
		delete(p.kept, e.Entry.Key)
	}
}
