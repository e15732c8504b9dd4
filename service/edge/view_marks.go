package edge

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/logging"
	decision "azuredyke.dev/azuredyke/decision/quarantine"
	"azuredyke.dev/azuredyke/service/quarantine"
)

// restoreTimeout bounds the wait until the quarantine has applied marks. It does so within milliseconds.
const restoreTimeout = time.Second

// restorer applies marks that were read in the store to the quarantine.
type restorer interface {
	Restore(ctx context.Context, marks []decision.Mark) error
}

// applyMarks applies changes of stored marks. The quarantine has them before the state is published, so a node that has just started
// sends no request that is in quarantine. A deleted entry changes nothing: marks end by themselves.
func (v *view) applyMarks(events []backing.WatchEvent) {
	if len(events) == 0 {
		return
	}
	stored := maps.Clone(v.storedMarks.Load())
	var marks []decision.Mark
	for _, e := range events {
		f, err := quarantine.DecodeKey(e.Entry.Key)
		delete(stored, f)
		if err == nil && !e.Deleted {
			var m decision.Mark
			if m, err = quarantine.DecodeMark(f, e.Entry.Value); err == nil {
				stored[f] = quarantine.StoredEntry{Mark: m, Revision: e.Entry.ModRevision}
				marks = append(marks, m)
			}
		}
		if err != nil {
			v.log.Warn("entry of a mark not usable", zap.String("key", e.Entry.Key), logging.Cause(err))
		}
	}
	if len(marks) > 0 && v.quarantine != nil {
		ctx, cancel := context.WithTimeout(context.Background(), restoreTimeout)
		defer cancel()
		if err := v.quarantine.Restore(ctx, marks); err != nil {
			v.log.Warn("stored marks were not applied", zap.Int("marks", len(marks)), logging.Cause(err))
		}
	}
	v.storedMarks.Publish(stored)
}
