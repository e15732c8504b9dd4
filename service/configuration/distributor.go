package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
)

// Distributor is the task that distributes new revisions between nodes. It notifies a few peers when this node has a new
// revision in force, and pulls from peers when this node is behind.
type Distributor struct {
	log     *zap.Logger
	manager *Manager
	peers   Peers
	reader  Reader
	options DistributorOptions
	notices mailbox.Mailbox[Notice]
	results chan pullResult
	started *latest.Value[bool]

	// Only the task uses the fields below.
	random *rand.Rand
	// pullsInFlight holds the addresses of the peers with a pull in flight.
	pullsInFlight map[string]bool
	// highestRevision is the highest revision reported by peers, and sources the addresses of peers that reported it.
	highestRevision int64
	sources         []string
	// fastPullUntil is the time until which this node pulls more often for highestRevision.
	fastPullUntil time.Time
	// awaitingAnswer is set from a periodic pull until any peer answers.
	awaitingAnswer bool
	// avoidedUntil maps the address of a peer whose last pull failed to the time until which the peer is avoided.
	avoidedUntil map[string]time.Time
	// initialInFlight is the number of initial calls without a result; answered is set by the first successful call.
	initialInFlight int
	answered        bool
	// readInFlight is set while the key-value service is read; lastAnswerAt is when a peer or the service last answered.
	readInFlight bool
	lastAnswerAt time.Time
	calls        sync.WaitGroup
}

// NewDistributor returns a Distributor that reads the key-value service through reader.
func NewDistributor(log *zap.Logger, manager *Manager, peers Peers, reader Reader, o DistributorOptions) *Distributor {
	random := o.Random
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Distributor{
		log: log, manager: manager, peers: peers, reader: reader, options: o, random: random,
		notices: mailbox.New[Notice](distributorCapacity), results: make(chan pullResult, maxPulls+1),
		started: latest.New(false), pullsInFlight: map[string]bool{}, avoidedUntil: map[string]time.Time{},
	}
}

// Started holds true once the initial calls to peers and the key-value service have ended, at least one call has succeeded,
// and the newest revision from the answers is in force. Before that, the node should not report that it is ready.
func (d *Distributor) Started() *latest.Value[bool] { return d.started }

// ReceiveNotice queues a notice from a peer. It does not block, and drops the notice when the queue is full.
func (d *Distributor) ReceiveNotice(n Notice) { d.notices.TrySend(n) }

// Run distributes revisions until ctx ends.
func (d *Distributor) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer d.calls.Wait()
	defer cancel()
	d.startInitialCalls(ctx)
	snapshot, changed := d.manager.Current().Watch()
	notified := snapshot.Revision()
	_, membersChanged := d.peers.Members().Watch()
	timer := time.NewTimer(d.drawPullDelay())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			snapshot, changed = d.manager.Current().Watch()
			if snapshot.Revision() > notified {
				notified = snapshot.Revision()
				d.notifyPeers(notified)
			}
		case n := <-d.notices.Receive():
			d.recordRevision(n.Revision, n.From)
			d.catchUp(ctx, timer)
		case <-membersChanged:
			_, membersChanged = d.peers.Members().Watch()
			d.scanMembers()
			d.catchUp(ctx, timer)
		case r := <-d.results:
			d.handleResult(ctx, r)
			if r.err == nil {
				timer.Reset(d.drawPullDelay())
			}
		case <-timer.C:
			d.readWhenIsolated(ctx)
			if d.startPull(ctx, d.choosePeer(), false) {
				d.awaitingAnswer = true
			}
			timer.Reset(d.drawPullDelay())
		}
	}
}

// notifyPeers notifies up to noticeFanout random peers whose last known revision is lower.
func (d *Distributor) notifyPeers(revision int64) {
	sent := 0
	for _, m := range d.shuffleMembers() {
		if sent == noticeFanout {
			return
		}
		if m.Revision < revision {
			d.peers.Notify(m.Address, Notice{Revision: revision, From: d.options.SelfAddress})
			sent++
		}
	}
}

// catchUp pulls at once when this node is behind, and brings the next pull forward, since this pull may stall. It starts no
// pull while one from a peer with the highest known revision is in flight, since several peers report the same revision.
func (d *Distributor) catchUp(ctx context.Context, next *time.Timer) {
	if d.isBehind() && !d.isPullingFromSource() && d.startPull(ctx, d.choosePeer(), false) {
		next.Reset(d.drawPullDelay())
	}
}

// startPull pulls from a peer in a new goroutine. It reports false if address is empty, a pull from that peer is in flight,
// or maxPulls pulls are in flight.
func (d *Distributor) startPull(ctx context.Context, address string, initial bool) bool {
	if address == "" || d.pullsInFlight[address] || len(d.pullsInFlight) >= maxPulls {
		return false
	}
	d.pullsInFlight[address] = true
	revision := d.inForceRevision()
	d.calls.Go(func() {
		pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		reply, err := d.peers.Pull(pullCtx, address, revision)
		// The send does not block: at most maxPulls pulls and one read of the key-value service are in flight.
		d.results <- pullResult{address: address, reply: reply, initial: initial, err: err}
	})
	return true
}

// handleResult processes the result of a pull or of a read of the key-value service.
func (d *Distributor) handleResult(ctx context.Context, r pullResult) {
	if r.address != "" {
		delete(d.pullsInFlight, r.address)
	} else {
		d.readInFlight = false
	}
	if r.err == nil {
		d.answered, d.lastAnswerAt = true, time.Now()
		if r.address != "" {
			d.awaitingAnswer = false
			delete(d.avoidedUntil, r.address)
		}
		d.offerResult(ctx, r)
	} else {
		d.removeSource(r.address)
		d.avoidedUntil[r.address] = time.Now().Add(failedPeerAvoidance)
		d.log.Debug("configuration pull or read failed", zap.String("peer", r.address), zap.Error(r.err))
	}
	if r.initial {
		d.initialInFlight--
	}
	if d.initialInFlight == 0 && d.answered && !d.started.Load() {
		d.started.Publish(true)
	}
}

// offerResult offers the snapshot of a result to the Manager and waits until the Manager has processed it.
func (d *Distributor) offerResult(ctx context.Context, r pullResult) {
	snapshot := r.snapshot
	if r.address != "" {
		d.recordRevision(r.reply.Revision, r.address)
		inForce := d.manager.Current().Load()
		if snapshot = r.reply.snapshot(inForce); snapshot == nil {
			d.removeSource(r.address)
			return
		}
	}
	done := make(chan struct{})
	if d.manager.Offer(ctx, Offer{Snapshot: snapshot, Done: done}) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}
