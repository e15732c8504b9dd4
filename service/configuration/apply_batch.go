package configuration

import (
	"errors"
	"strings"

	"github.com/zeebo/errs"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
)

// errReadAgain is the class of batches that are not one change of one object, so that the configuration must be read again.
var errReadAgain = errs.Class("configuration must be read again")

// applyBatch returns the snapshot after the events of one transaction. Events of other keys, such as records of refused
// changes, and of revisions that the snapshot holds already leave it as it is.
//
// Only a batch that looks like a change made by a Changer is applied: the head one revision on, its audit record, and one
// object. Anything else, such as a configuration file that was replaced, may leave deletions out.
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
		return nil, errReadAgain.New("from revision %d to %d with %d objects", d.From, d.To, objects)
	}
	next, ok := d.Apply(s)
	if !ok {
		return nil, errReadAgain.New("the change to revision %d does not fit", d.To)
	}
	return next, nil
}

func asRestored(err error) (*config.RestoredError, bool) {
	var restored *config.RestoredError
	return restored, errors.As(err, &restored)
}
