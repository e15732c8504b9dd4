package configuration

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
)

// event returns the event of one written key; an empty value is a deletion.
func event(key, value string) backing.WatchEvent {
	return backing.WatchEvent{Entry: backing.Entry{Key: key, Value: []byte(value)}, Deleted: value == ""}
}

// changeEvents are the events of a change of the data centre west to a revision.
func changeEvents(revision int64) []backing.WatchEvent {
	return []backing.WatchEvent{
		event(objectKey(west), `{"Kind":"data_centre","Name":"west","DataCentre":{"Region":"new"}}`),
		event(headKey, fmt.Sprintf(`{"Revision":%d}`, revision)), event(auditKey(revision), `{}`),
	}
}

// Guards against a watched batch that is applied although it is not one whole change, such as a replaced configuration
// file whose deletions are not reported.
func TestApplyBatch(t *testing.T) {
	s := config.NewSnapshot(4, nil)
	for name, c := range map[string]struct {
		events   []backing.WatchEvent
		revision int64
		again    bool
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
		assert.Equal(t, errReadAgain.Has(err), c.again, "%s: %v", name, err)
		if !c.again {
			assert.NilError(t, err, name)
			assert.Equal(t, next.Revision(), c.revision, name)
		}
	}
	deleted := changeEvents(5)
	deleted[0] = event(objectKey(west), "")
	with := config.NewSnapshot(4, []*config.Object{{Ref: west, Revision: 1, DataCentre: &config.DataCentre{}}})
	next, err := applyBatch(with, backing.WatchBatch{Events: deleted})
	assert.NilError(t, err)
	assert.Assert(t, next.Get(west) == nil)
}
