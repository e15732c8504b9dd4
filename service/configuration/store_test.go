package configuration

import (
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
)

// Guards against a configuration that is put together from the objects of one revision and the head of another, when a
// change lands between the two reads.
func TestLoadReadsHeadAndObjectsOfOneRevision(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.mustChange(t, 1)
		landed := false
		r.kv.afterRange = func(prefix string) {
			if landed || prefix != objectsPrefix {
				return
			}
			landed = true
			_, err := r.kv.KV.Commit(t.Context(), backing.Txn{Writes: []backing.Write{
				{Key: headKey, Value: []byte(`{"Revision":2}`)},
				{Key: objectKey(west), Value: []byte(`{"Kind":"data_centre","Name":"west","Revision":2,"DataCentre":{}}`)},
			}})
			assert.Check(t, err)
		}
		current, err := r.changer.store.load(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, landed)
		assert.Equal(t, current.snapshot.Revision(), int64(2))
		assert.Equal(t, current.snapshot.Get(west).Revision, int64(2))
		assert.DeepEqual(t, current.snapshot.Get(west).Ref, config.Ref{Kind: config.KindDataCentre, Name: "west"})
	})
}
