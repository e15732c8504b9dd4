package edge

import (
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	decision "azuredyke.dev/azuredyke/decision/quarantine"
	"azuredyke.dev/azuredyke/service/quarantine"
)

// recordingQuarantine records the restored marks and the revision that was published at that time.
type recordingQuarantine struct {
	view      *view
	marks     []decision.Mark
	published int64
}

func (q *recordingQuarantine) Restore(_ context.Context, marks []decision.Mark) error {
	q.marks, q.published = append(q.marks, marks...), q.view.current.Load().Revision
	return nil
}

// Guards against a node that has just started and sends a request in quarantine, because it serves callers before it knows the stored marks,
// and against unreadable entries that hide the others.
func TestMarksAreRestoredBeforeTheStateIsPublished(t *testing.T) {
	v := newView(zap.NewNop(), Member{ID: "self"}, translateEndpoint)
	q := &recordingQuarantine{view: v}
	v.quarantine = q
	mark := decision.Mark{Fingerprint: 6, Evidence: 3, Remaining: 1}
	value, err := cbor.Marshal(mark)
	assert.NilError(t, err)
	entries := []backing.Entry{
		{Key: quarantine.MarkPrefix + "6", Value: value, ModRevision: 3},
		{Key: quarantine.MarkPrefix + "8", Value: value, ModRevision: 4},
		{Key: quarantine.MarkPrefix + "odd", Value: value, ModRevision: 5},
		{Key: quarantine.MarkPrefix + "a", Value: []byte("odd"), ModRevision: 6},
		endpointEvent("a", 7, false).Entry,
	}
	storeReadMessage{result: backing.RangeResult{Entries: entries, Revision: 9}}.apply(v)
	assert.DeepEqual(t, q.marks, []decision.Mark{mark})
	assert.Equal(t, q.published, int64(0))
	assert.DeepEqual(t, v.storedMarks.Load(), quarantine.Stored{6: {Mark: mark, Revision: 3}})
	assert.Equal(t, v.current.Load().Revision, int64(9))
	deleted := backing.WatchEvent{Entry: backing.Entry{Key: quarantine.MarkPrefix + "6", ModRevision: 10}, Deleted: true}
	storeChangedMessage{batch: backing.WatchBatch{Events: []backing.WatchEvent{deleted}, Revision: 10}}.apply(v)
	assert.Equal(t, len(v.storedMarks.Load()), 0)
}
