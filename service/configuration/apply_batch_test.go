package configuration

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
)

// event returns the event of a write to one key. An empty value is a deletion.
func event(key, value string) backing.WatchEvent {
	return backing.WatchEvent{Entry: backing.Entry{Key: key, Value: []byte(value)}, Deleted: value == ""}
}

// changeEvents returns the events of a change of the data centre west that creates a revision.
func changeEvents(revision int64) []backing.WatchEvent {
	return []backing.WatchEvent{
		event(objectKey(west), `{"Kind":"data_centre","Name":"west","DataCentre":{"Region":"new"}}`),
		event(headKey, fmt.Sprintf(`{"Revision":%d}`, revision)), event(auditKey(revision), `{}`),
	}
}

// Guards against applying a batch that is not exactly one change, such as that of a replaced configuration file, whose
// deletions are not reported.
func TestApplyBatch(t *testing.T) {
	s := config.NewSnapshot(4, nil)
	for name, c := range map[string]struct {
		events   []backing.WatchEvent
		revision int64
		reload   bool
	}{
		"change":              {changeEvents(5), 5, false},
		"known revision":      {changeEvents(3), 4, false},
		"refusal":             {[]backing.WatchEvent{event(refusedKey(1), `{}`)}, 4, false},
		"gap":                 {changeEvents(6), 0, true},
		"without the record":  {changeEvents(5)[:2], 0, true},
		"without the object":  {changeEvents(5)[1:], 0, true},
		"two objects":         {append(changeEvents(5), event(objectsPrefix+"model/m", "")), 0, true},
		"object without head": {changeEvents(5)[:1], 0, true},
	} {
		next, err := applyBatch(s, backing.WatchBatch{Events: c.events})
		assert.Equal(t, errReloadRequired.Has(err), c.reload, "%s: %v", name, err)
		if !c.reload {
			assert.NilError(t, err, name)
			assert.Equal(t, next.Revision(), c.revision, name)
		}
	}
	deleted := changeEvents(5)
	deleted[0] = event(objectKey(west), "")
	withWest := config.NewSnapshot(4, []*config.Object{{Ref: west, Revision: 1, DataCentre: &config.DataCentre{}}})
	next, err := applyBatch(withWest, backing.WatchBatch{Events: deleted})
	assert.NilError(t, err)
	assert.Assert(t, next.Get(west) == nil)
}
