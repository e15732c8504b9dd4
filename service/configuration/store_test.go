package configuration

import (
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
)

// Guards against a configuration that combines the objects of one revision with the head of another, when a change takes
// effect between the two reads.
func TestLoadReadsHeadAndObjectsOfOneRevision(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.mustChange(t, 1)
		changed := false
		f.kv.afterRange = func(prefix string) {
			if changed || prefix != objectsPrefix {
				return
			}
			changed = true
			_, err := f.kv.KV.Commit(t.Context(), backing.Txn{Writes: []backing.Write{
				{Key: headKey, Value: []byte(`{"Revision":2}`)},
				{Key: objectKey(west), Value: []byte(`{"Kind":"data_centre","Name":"west","Revision":2,"DataCentre":{}}`)},
			}})
			assert.Check(t, err)
		}
		current, err := f.changer.store.load(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, changed)
		assert.Equal(t, current.snapshot.Revision(), int64(2))
		assert.Equal(t, current.snapshot.Get(west).Revision, int64(2))
		assert.DeepEqual(t, current.snapshot.Get(west).Ref, config.Ref{Kind: config.KindDataCentre, Name: "west"})
	})
}
