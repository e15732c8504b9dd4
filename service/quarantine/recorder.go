package quarantine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/pause"
	"azuredyke.dev/azuredyke/decision/quarantine"
)

const (
	// storeTimeout bounds one call of the key-value service.
	storeTimeout = 500 * time.Millisecond
	// minRecordInterval is the least time between two comparisons, and maxWritesPerRound bounds the writes after one. Together they bound
	// the calls of a node under a flood of marks to 32 a second.
	minRecordInterval = 500 * time.Millisecond
	maxWritesPerRound = 8
	// recordTakeover is the time after which a node makes a change that the home node of the fingerprint has not made. The home node may
	// be lost or cut off from the key-value service.
	recordTakeover = 5 * time.Second
	// minLease is the least time to live of an entry.
	minLease = 5 * time.Second
	// maxRecordBackoff bounds the wait after a failed call, which doubles with each consecutive failure.
	maxRecordBackoff = 8 * time.Second
)

// Recorder is the task that stores the marks of requests that have crashed several endpoints in the key-value service, so that they outlive
// a failure of all nodes. It compares the marks of this node with the entries and writes the differences, so a lost write is made again.
// Usually the home node of a fingerprint writes.
type Recorder struct {
	log    *zap.Logger
	store  Store
	peers  Peers
	marks  *latest.Value[quarantine.Snapshot]
	stored *latest.Value[Stored]
	// seen holds the entries that were seen last, and pending the time since which an entry has differed from the mark.
	seen    map[quarantine.Fingerprint]seenEntry
	pending map[quarantine.Fingerprint]time.Time
}

// seenEntry is the revision of an entry and the time at which this node first saw it.
type seenEntry struct {
	revision int64
	at       time.Time
}

// NewRecorder returns a Recorder of the marks of a Manager. stored holds the present entries of the key-value service.
func NewRecorder(log *zap.Logger, store Store, m *Manager, stored *latest.Value[Stored]) *Recorder {
	return &Recorder{
		log: log, store: store, peers: m.peers, marks: m.marks, stored: stored,
		seen: map[quarantine.Fingerprint]seenEntry{}, pending: map[quarantine.Fingerprint]time.Time{},
	}
}

// Run stores marks until ctx ends. The Manager publishes its marks each second while there are any.
func (r *Recorder) Run(ctx context.Context) {
	backoff := minRecordInterval
	for ctx.Err() == nil {
		marks, marksChanged := r.marks.Watch()
		stored, storedChanged := r.stored.Watch()
		if err := r.record(ctx, time.Now(), marks, stored); err == nil {
			backoff = minRecordInterval
		} else if ctx.Err() == nil {
			r.log.Warn("storing marks failed; retrying", logging.Cause(err), zap.Duration("backoff", backoff))
			backoff = min(maxRecordBackoff, 2*backoff)
		}
		if !pause.Sleep(ctx, backoff) {
			return
		}
		select {
		case <-marksChanged:
		case <-storedChanged:
		case <-ctx.Done():
		}
	}
}

// record makes the changes that are due on this node.
func (r *Recorder) record(ctx context.Context, now time.Time, marks quarantine.Snapshot, stored Stored) error {
	change := quarantine.NewStorageChange(marks, r.observe(now, stored))
	due := r.selectDue(now, change)
	for _, m := range due.Put {
		if err := r.put(ctx, m); err != nil {
			return err
		}
		r.logChange("mark stored", m.Fingerprint, zap.Int("evidence", m.Evidence), zap.Duration("remaining", m.Remaining))
	}
	for _, f := range due.Delete {
		if err := r.commit(ctx, backing.Write{Key: markKey(f), Delete: true}); err != nil {
			return err
		}
		r.logChange("stored mark deleted", f)
	}
	return nil
}

func (r *Recorder) logChange(event string, f quarantine.Fingerprint, fields ...zap.Field) {
	r.log.Info(event, append(fields, zap.Uint64("fingerprint", uint64(f)))...)
}

// observe returns the entries with the time since this node first saw them.
func (r *Recorder) observe(now time.Time, stored Stored) map[quarantine.Fingerprint]quarantine.StoredMark {
	entries, seen := make(map[quarantine.Fingerprint]quarantine.StoredMark, len(stored)), make(map[quarantine.Fingerprint]seenEntry, len(stored))
	for f, entry := range stored {
		last := r.seen[f]
		if last.revision != entry.Revision {
			last = seenEntry{revision: entry.Revision, at: now}
		}
		seen[f] = last
		entries[f] = quarantine.StoredMark{Mark: entry.Mark, Age: now.Sub(last.at)}
	}
	r.seen = seen
	return entries
}

// selectDue returns the changes that this node makes now: those of the fingerprints whose home node it is, and those that are overdue.
func (r *Recorder) selectDue(now time.Time, change quarantine.StorageChange) quarantine.StorageChange {
	pending := make(map[quarantine.Fingerprint]time.Time, len(change.Put)+len(change.Delete))
	isDue := func(f quarantine.Fingerprint) bool {
		since, ok := r.pending[f]
		if !ok {
			since = now
		}
		pending[f] = since
		_, remote := r.peers.HomeNode(f)
		return !remote || now.Sub(since) >= recordTakeover
	}
	var due quarantine.StorageChange
	for _, m := range change.Put {
		if isDue(m.Fingerprint) && len(due.Put) < maxWritesPerRound {
			due.Put = append(due.Put, m)
		}
	}
	for _, f := range change.Delete {
		if isDue(f) && len(due.Put)+len(due.Delete) < maxWritesPerRound {
			due.Delete = append(due.Delete, f)
		}
	}
	r.pending = pending
	return due
}

// put writes the entry of a mark under a lease that ends with the mark.
func (r *Recorder) put(ctx context.Context, m quarantine.Mark) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := r.store.GrantLease(ctx, max(minLease, min(quarantine.MaxStorage, m.Remaining)))
	if err != nil {
		return err
	}
	return r.commit(ctx, backing.Write{Key: markKey(m.Fingerprint), Value: encodeMark(m), Lease: lease})
}

func (r *Recorder) commit(ctx context.Context, w backing.Write) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := r.store.Commit(ctx, backing.Txn{Writes: []backing.Write{w}})
	return err
}
