package configuration

import (
	"errors"
	"strings"

	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/platform"
)

// applyBatch returns the snapshot after the events of one transaction. Events of other keys, such as audit records, leave
// it as it is. An error means that the configuration must be read again.
func applyBatch(s *config.Snapshot, batch platform.WatchBatch) (*config.Snapshot, error) {
	if batch.Err != nil {
		return nil, batch.Err
	}
	d := config.Delta{From: s.Revision(), To: s.Revision()}
	for _, e := range batch.Events {
		key := e.Entry.Key
		switch {
		case key == headKey && e.Deleted:
			return nil, Error.New("the head was deleted")
		case key == headKey:
			h, err := decodeHead(e.Entry.Value)
			if err != nil {
				return nil, err
			}
			d.To = h.Revision
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
	if d.To == d.From && len(d.Changed)+len(d.Deleted) == 0 {
		return s, nil
	}
	if d.To != d.From+1 {
		return nil, Error.New("the watch went from revision %d to %d", d.From, d.To)
	}
	next, ok := d.Apply(s)
	if !ok {
		return nil, Error.New("the change to revision %d does not fit", d.To)
	}
	return next, nil
}

func asRestored(err error) (*config.RestoredError, bool) {
	var restored *config.RestoredError
	return restored, errors.As(err, &restored)
}
