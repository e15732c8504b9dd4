package configuration

import (
	"errors"
	"strings"

	"github.com/zeebo/errs"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
)

// errReloadRequired is the class of the errors for batches that are not one change of one object. The watcher then reloads
// the whole configuration.
var errReloadRequired = errs.Class("configuration must be read again")

// applyBatch returns the snapshot after the events of one transaction. Events of other keys, such as records of refused
// changes, and events of revisions that the snapshot already contains return the snapshot unchanged.
//
// Only a batch with the layout that a Changer writes is applied: the head at the next revision, the audit record of that
// revision, and one object. Any other batch returns an errReloadRequired error, because it may omit deletions; a replaced
// configuration file is an example.
func applyBatch(s *config.Snapshot, batch backing.WatchBatch) (*config.Snapshot, error) {
	if batch.Err != nil {
		return nil, batch.Err
	}
	d := config.Delta{From: s.Revision(), To: s.Revision()}
	audited := map[string]bool{}
	for _, e := range batch.Events {
		key := e.Entry.Key
		switch {
		case key == headKey:
			h, err := decodeHead(e.Entry.Value)
			if err != nil {
				return nil, err
			}
			d.To = h.Revision
		case strings.HasPrefix(key, auditPrefix) && !e.Deleted:
			audited[key] = true
		case strings.HasPrefix(key, objectsPrefix) && e.Deleted:
			kind, name, _ := strings.Cut(strings.TrimPrefix(key, objectsPrefix), "/")
			d.Deleted = append(d.Deleted, config.Ref{Kind: config.Kind(kind), Name: name})
		case strings.HasPrefix(key, objectsPrefix):
			o, err := decodeObject(key, e.Entry.Value)
			if err != nil {
				return nil, err
			}
			d.Changed = append(d.Changed, o)
		}
	}
	objects := len(d.Changed) + len(d.Deleted)
	switch {
	case d.To == d.From && objects == 0, d.To < d.From:
		return s, nil
	case d.To != d.From+1 || objects != 1 || !audited[auditKey(d.To)]:
		return nil, errReloadRequired.New("batch from revision %d to %d has %d objects", d.From, d.To, objects)
	}
	next, ok := d.Apply(s)
	if !ok {
		return nil, errReloadRequired.New("the change to revision %d does not apply to the snapshot", d.To)
	}
	return next, nil
}

func asRestored(err error) (*config.RestoredError, bool) {
	var restored *config.RestoredError
	return restored, errors.As(err, &restored)
}
