package configuration

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/config"
)

// Guards against stored values that make the decoder panic, and against decoded objects without the spec of their kind,
// which would make every node that reads them panic. A normal test run executes the committed corpus.
func FuzzDecodeStored(f *testing.F) {
	f.Add("config/objects/data_centre/west", []byte(`{"Kind":"data_centre","Name":"west","DataCentre":{"Region":"r"}}`))
	f.Add(headKey, []byte(`{"Revision":3,"AuditFloor":1}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		if h, err := decodeHead(value); err == nil {
			assert.Assert(t, h.Revision >= 0 && h.AuditFloor >= 0)
		}
		_, _ = decodeAuditRecord(key, value)
		o, err := decodeObject(key, value)
		if err != nil {
			return
		}
		assert.Assert(t, o.Complete())
		config.Validate(config.NewSnapshot(1, []*config.Object{o}))
		text, err := json.Marshal(o)
		assert.NilError(t, err)
		again, err := decodeObject(key, text)
		assert.NilError(t, err)
		assert.Equal(t, again.Ref, o.Ref)
	})
}

// Guards against accepting a stored object that belongs to another key or has no spec of its kind.
func TestDecodeObjectRefusesWrongValues(t *testing.T) {
	for key, value := range map[string]string{
		"config/objects/data_centre/east": `{"Kind":"data_centre","Name":"west","DataCentre":{}}`,
		"config/objects/data_centre/west": `{"Kind":"data_centre","Name":"west"}`,
		"config/objects/model/m":          `{"Kind":"model","Name":"m","Model":{},"Service":{}}`,
		"config/objects/cell/c":           `{"Kind":"cell","Name":"c"}`,
		"config/objects/model/n":          `[]`,
	} {
		_, err := decodeObject(key, []byte(value))
		assert.Assert(t, Error.Has(err), "%s: %v", key, err)
	}
}
