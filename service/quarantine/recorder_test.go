package quarantine

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/quarantine"
)

// recordedStore is a key-value service that holds marks. The first failures calls fail.
type recordedStore struct {
	stored   *latest.Value[Stored]
	revision int64
	failures int
	calls    atomic.Int64
	// leases holds the times to live of all leases.
	leases *latest.Value[[]time.Duration]
	// losesAnswers is set if writes take effect although their calls fail.
	losesAnswers bool
}

func newRecordedStore() *recordedStore {
	return &recordedStore{stored: latest.New(Stored{}), leases: latest.New([]time.Duration(nil))}
}

func (s *recordedStore) GrantLease(_ context.Context, ttl time.Duration) (backing.LeaseID, error) {
	s.calls.Add(1)
	if s.failures > 0 && !s.losesAnswers {
		s.failures--
		return 0, backing.ErrUnavailable.New("refused")
	}
	s.leases.Publish(append(slices.Clone(s.leases.Load()), ttl))
	return 1, nil
}

func (s *recordedStore) Commit(_ context.Context, txn backing.Txn) (backing.CommitResult, error) {
	s.calls.Add(1)
	next := Stored{}
	for f, e := range s.stored.Load() {
		next[f] = e
	}
	for _, w := range txn.Writes {
		f, err := DecodeKey(w.Key)
		if err != nil {
			return backing.CommitResult{}, err
		}
		s.revision++
		delete(next, f)
		if !w.Delete {
			m, err := DecodeMark(f, w.Value)
			if err != nil {
				return backing.CommitResult{}, err
			}
			next[f] = StoredEntry{Mark: m, Revision: s.revision}
		}
	}
	s.stored.Publish(next)
	if s.failures > 0 {
		s.failures--
		return backing.CommitResult{}, backing.ErrUnknownOutcome.New("no answer")
	}
	return backing.CommitResult{Committed: true, Revision: s.revision}, nil
}

// remotePeers are the peers of a node that is the home node of no fingerprint. The home node is lost.
type remotePeers struct{ NoPeers }

func (remotePeers) HomeNode(quarantine.Fingerprint) (string, bool) { return "lost", true }

// startRecorder starts a Manager and its Recorder. It must be called in a synctest bubble.
func startRecorder(t *testing.T, store *recordedStore, peers Peers) (context.Context, *Manager) {
	t.Helper()
	m := NewManager(zap.NewNop(), peers)
	r := NewRecorder(zap.NewNop(), store, m, store.stored)
	go m.Run(t.Context())
	go r.Run(t.Context())
	return t.Context(), m
}

// Guards against a request in quarantine that runs again after all nodes were killed at once, because their marks were in memory only.
func TestQuarantineIsStoredAndRestored(t *testing.T) {
	for name, disturb := range map[string]func(*recordedStore){
		"at once":            func(*recordedStore) {},
		"after refusals":     func(s *recordedStore) { s.failures = 3 },
		"after lost answers": func(s *recordedStore) { s.failures, s.losesAnswers = 2, true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newRecordedStore()
				disturb(store)
				ctx, m := startRecorder(t, store, NoPeers{})
				request := []quarantine.Fingerprint{6}
				m.ReportCrash(ctx, m.Admit(ctx, request))
				time.Sleep(20 * time.Second)
				synctest.Wait()
				assert.Equal(t, len(store.stored.Load()), 0, "one crash says little")
				m.ReportCrash(ctx, m.Admit(ctx, request))
				time.Sleep(20 * time.Second)
				synctest.Wait()
				assert.Equal(t, len(store.stored.Load()), 1)
				assert.Equal(t, store.leases.Load()[0], quarantine.MaxStorage)
				calls := store.calls.Load()
				time.Sleep(time.Minute)
				synctest.Wait()
				assert.Equal(t, store.calls.Load(), calls, "the entry is written once")

				restarted := NewManager(zap.NewNop(), NoPeers{})
				go restarted.Run(ctx)
				assert.NilError(t, restarted.Restore(ctx, []quarantine.Mark{store.stored.Load()[6].Mark}))
				assert.Equal(t, restarted.Admit(ctx, request).Standing, quarantine.Quarantined)
			})
		})
	}
}

// Guards against a quarantine that is restored although an answer has discarded its evidence.
func TestStoredMarkIsDeletedWithItsEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRecordedStore()
		ctx, m := startRecorder(t, store, NoPeers{})
		request := []quarantine.Fingerprint{6}
		for range 2 {
			m.ReportLateCrash(ctx, m.Continue(request))
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(store.stored.Load()), 1)
		m.ReportAnswer(ctx, m.Continue(request))
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(store.stored.Load()), 0)
	})
}

// Guards against a mark that is never stored because its home node is lost, and against all nodes writing it at once.
func TestOtherNodesStoreTheMarksOfALostHomeNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRecordedStore()
		ctx, m := startRecorder(t, store, remotePeers{})
		for range 2 {
			m.ReportLateCrash(ctx, m.Continue([]quarantine.Fingerprint{6}))
		}
		time.Sleep(recordTakeover - time.Second)
		synctest.Wait()
		assert.Equal(t, store.calls.Load(), int64(0))
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(store.stored.Load()), 1)
	})
}

// Guards against an entry that ends with its lease although the quarantine lasts longer.
func TestStoredMarkIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRecordedStore()
		ctx, m := startRecorder(t, store, NoPeers{})
		for range 2 {
			m.ReportCrash(ctx, m.Admit(ctx, []quarantine.Fingerprint{6}))
		}
		time.Sleep(quarantine.MaxStorage)
		synctest.Wait()
		assert.Assert(t, len(store.leases.Load()) >= 2, "%d leases", len(store.leases.Load()))
	})
}
