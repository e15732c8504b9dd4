package rollout

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/pause"
	"azuredyke.dev/azuredyke/decision/rollout"
)

const (
	// decideInterval is the interval at which the decider looks at the counts, which arrive every reportInterval.
	decideInterval = 250 * time.Millisecond
	// leaseTTL is the time after which another candidate can take over.
	leaseTTL = 3 * time.Second
	// renewInterval allows for one failed renewal within leaseTTL.
	renewInterval = time.Second
	// callTimeout bounds a call to the store, which answers within some milliseconds, and some hundred if it is slow.
	callTimeout = 500 * time.Millisecond
	// candidacyPause is the wait after a lost or failed candidacy. The winner's key arrives with the changes of the store.
	candidacyPause = time.Second
	// standInDelay is the time without a decider after which the second relay of a data centre is a candidate as well. The entry of a
	// primary relay that was lost stays listed for up to a minute.
	standInDelay = 2 * time.Second
	// candidacyJitter spreads the first calls of the candidates, of which all but one are in vain.
	candidacyJitter = 100 * time.Millisecond
)

// Decider is the task that writes the plans of roll-outs while this process holds the decider's key. All nodes run one; only
// relays become the decider.
type Decider struct {
	log     *zap.Logger
	node    string
	cluster Cluster
	counts  Counts
	peers   Peers
	store   Store
	encode  StatusEncoder
	// newJudge returns a judge for one roll-out.
	newJudge func() Judge
	now      func() time.Time
	metrics  *deciderMetrics

	// holder is the value of the decider's key, unique for the process.
	holder []byte
	state  *State
	term   *term
	// candidateAt is the earliest time of the next candidacy. deciderMissedAt is the time from which an order is open and no decider
	// listed; zero if there is one.
	candidateAt, deciderMissedAt time.Time
	rollouts                     map[string]*storedRollout
	// storeFailed is set while the store does not answer.
	storeFailed bool
}

// NewDecider returns a Decider that holds no key. now returns the time on a clock that includes suspensions.
func NewDecider(log *zap.Logger, node string, cluster Cluster, counts Counts, peers Peers, store Store, encode StatusEncoder,
	newJudge func() Judge, now func() time.Time, scope tally.Scope,
) *Decider {
	return &Decider{
		log: log, node: node, cluster: cluster, counts: counts, peers: peers, store: store, encode: encode, newJudge: newJudge, now: now,
		metrics: newDeciderMetrics(scope), holder: newHolderValue(node), rollouts: map[string]*storedRollout{},
	}
}

// Run decides until ctx ends. Without an open order it waits for one and makes no call to the store.
func (d *Decider) Run(ctx context.Context) {
	for ctx.Err() == nil {
		state, changed := d.cluster.Watch()
		d.state = state
		if state.Rank < 0 || len(state.openServices()) == 0 {
			d.rest()
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		d.step(ctx)
		pause.Sleep(ctx, decideInterval)
	}
}

// rest forgets what was read, since another decider may write meanwhile. The lease is not renewed and ends by itself.
func (d *Decider) rest() {
	clear(d.rollouts)
	d.storeFailed, d.deciderMissedAt = false, time.Time{}
	if d.term != nil && d.state.Rank < 0 {
		d.loseTerm("this node is no longer a relay")
	}
}

// step makes this process the decider if there is none, renews its lease, and decides about each open roll-out.
func (d *Decider) step(ctx context.Context) {
	now := d.now()
	if d.term != nil && d.term.hasLapsed(now) {
		d.loseTerm("the lease was not renewed in time")
	}
	if d.term == nil && (!d.isCandidate(now) || !d.win(ctx)) {
		return
	}
	isDue := d.storeFailed || d.now().Sub(d.term.renewedAt) >= renewInterval
	if isDue && !d.renew(ctx) && d.term == nil {
		return
	}
	for _, service := range d.state.openServices() {
		if d.term == nil {
			return
		}
		d.decide(ctx, service)
	}
}

// isCandidate reports whether this process is to try to become the decider now.
func (d *Decider) isCandidate(now time.Time) bool {
	if d.state.Holder.Revision != 0 {
		d.deciderMissedAt = time.Time{}
		return false
	}
	if d.deciderMissedAt.IsZero() {
		d.deciderMissedAt = now
	}
	return !now.Before(d.candidateAt) && (d.state.Rank == 0 || now.Sub(d.deciderMissedAt) >= standInDelay)
}

// win tries to write the decider's key and reports whether this process holds it now. If the answer is lost, the key is read.
func (d *Decider) win(ctx context.Context) bool {
	d.candidateAt = d.now().Add(candidacyPause)
	if !pause.Sleep(ctx, rand.N(candidacyJitter)) {
		return false
	}
	start := d.now()
	lease, err := call(ctx, func(ctx context.Context) (backing.LeaseID, error) { return d.store.GrantLease(ctx, leaseTTL) })
	if err != nil {
		d.log.Warn("no lease for the candidacy as decider; trying again", logging.Cause(err))
		return false
	}
	result, err := call(ctx, func(ctx context.Context) (backing.CommitResult, error) {
		return d.store.Commit(ctx, backing.Txn{
			Conditions: []backing.Condition{{Key: DeciderKey}},
			Writes:     []backing.Write{{Key: DeciderKey, Value: d.holder, Lease: lease}},
		})
	})
	revision := result.Revision
	if err != nil {
		entry, readErr := d.read(ctx, DeciderKey)
		if readErr != nil || entry.Lease != lease || !bytes.Equal(entry.Value, d.holder) {
			d.log.Warn("candidacy as decider failed", logging.Cause(err), zap.NamedError("read", readErr))
			return false
		}
		revision = entry.ModRevision
	} else if !result.Committed {
		d.log.Info("another node is the decider")
		return false
	}
	d.term = &term{lease: lease, revision: revision, renewedAt: start}
	d.metrics.terms.Inc(1)
	d.log.Info("this node is the decider", zap.Int64("term", revision), zap.Int64("lease", int64(lease)))
	return true
}

// renew renews the lease and reports whether that succeeded.
func (d *Decider) renew(ctx context.Context) bool {
	start := d.now()
	_, err := call(ctx, func(ctx context.Context) (struct{}, error) { return struct{}{}, d.store.RenewLease(ctx, d.term.lease) })
	switch {
	case err == nil:
		d.term.renewedAt = start
		d.recordAnswer()
		return true
	case backing.ErrLeaseNotFound.Has(err):
		d.loseTerm("the lease has ended")
	default:
		d.recordSilence(err)
	}
	return false
}

// loseTerm ends the term. Entries are read again in the next one.
func (d *Decider) loseTerm(reason string) {
	d.log.Info("this node is no longer the decider", zap.Int64("term", d.term.revision), zap.String("reason", reason))
	d.metrics.termsLost.Inc(1)
	d.term, d.storeFailed = nil, false
	clear(d.rollouts)
}

// recordAnswer records that the store answers.
func (d *Decider) recordAnswer() {
	if d.storeFailed {
		d.storeFailed = false
		d.log.Info("the store answers the decider again", zap.Int64("term", d.term.revision))
	}
}

// recordSilence records that the store does not answer.
func (d *Decider) recordSilence(err error) {
	if !d.storeFailed {
		d.storeFailed = true
		d.log.Warn("the store does not answer the decider; the targets of open roll-outs get nothing meanwhile",
			zap.Int64("term", d.term.revision), logging.Cause(err))
	}
}

// read reads one entry. Its revision is 0 if the key does not exist.
func (d *Decider) read(ctx context.Context, key string) (backing.Entry, error) {
	d.metrics.read.Inc(1)
	result, err := call(ctx, func(ctx context.Context) (backing.RangeResult, error) { return d.store.Range(ctx, key) })
	if err != nil {
		return backing.Entry{}, err
	}
	for _, e := range result.Entries {
		if e.Key == key {
			return e, nil
		}
	}
	return backing.Entry{}, nil
}

// stopUnwritten sends a stop notice if the target of a roll-out may get requests although its plan can't be written.
func (d *Decider) stopUnwritten(service string, r *storedRollout) {
	p := r.plan
	if p == nil {
		p = d.state.plan(service)
	}
	if p == nil || p.Phase.IsFinal() || p.Phase == rollout.Promoting && !r.revertDue {
		return
	}
	d.metrics.stops.Inc(1)
	notice := Stop{Service: service, Revision: p.Order.Revision}
	d.counts.OfferStop(notice)
	d.peers.SendStop(notice)
}

// call makes a call to the store that is bounded by callTimeout.
func call[R any](ctx context.Context, f func(context.Context) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx)
}
