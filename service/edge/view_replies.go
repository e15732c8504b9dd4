package edge

import (
	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/bootclock"
)

// changesSince returns the changes after a revision as the reply to another node.
func (v *view) changesSince(revision int64) syncReply {
	if v.mirror.Revision() == 0 {
		return syncReply{}
	}
	events, ok := v.mirror.Since(revision)
	return syncReply{
		Available: ok, Revision: v.mirror.Revision(), Events: events, Skips: v.mirror.SkipsAfter(revision), AgeMillis: v.ageMillis(),
	}
}

// lostConfiguration returns the entry of the configuration in force, if it is newer than a version and the store has lost it, and nil
// otherwise. A node that has started since the store was restored can learn it from other nodes only.
func (v *view) lostConfiguration(version int64) *backing.WatchEvent {
	if v.snapshot.Configuration == nil || v.snapshot.Configuration.Version <= version || v.mirror.Holds(v.configuration) {
		return nil
	}
	e := v.configuration
	return &e
}

// allEntries returns all entries as the reply to a node that needs changes which this node no longer keeps.
func (v *view) allEntries() syncReply {
	entries := v.mirror.Entries()
	events := make([]backing.WatchEvent, len(entries))
	for i, e := range entries {
		events[i].Entry = e
	}
	return syncReply{Available: true, Complete: true, Revision: v.mirror.Revision(), Events: events, AgeMillis: v.ageMillis()}
}

// ageMillis returns the time since the copy was last confirmed to be current, rounded up.
func (v *view) ageMillis() int64 {
	return bootclock.Now().Sub(v.mirror.ConfirmedAt()).Milliseconds() + 1
}
