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

// Distributor is the task that spreads new revisions between nodes: it tells a few peers when this node has a new
// revision in force, and pulls from peers when this node is behind.
type Distributor struct {
	log     *zap.Logger
	keeper  *Keeper
	peers   Peers
	reader  Reader
	options DistributorOptions
	notices mailbox.Mailbox[Notice]
	results chan pullResult
	started *latest.Value[bool]

	// The fields below belong to the task.
	random *rand.Rand
	// pulling holds the addresses that are being asked.
	pulling map[string]bool
	// wanted is the highest revision that this node has heard of, and source the peers that have it.
	wanted int64
	source []string
	// hurryUntil is the end of the time in which this node pulls more often.
	hurryUntil time.Time
	// unanswered is set while no peer has answered since the last regular pull.
	unanswered bool
	// silent holds the peers whose last pull failed, until when they are avoided.
	silent map[string]time.Time
	// startOpen counts the answers that a starting node still waits for; heard is set by the first success.
	startOpen int
	heard     bool
	// reading is set while the key-value service is read, and heardAt is when a peer or the service last answered.
	reading bool
	heardAt time.Time
	calls   sync.WaitGroup
}

// NewDistributor returns a Distributor.
func NewDistributor(log *zap.Logger, keeper *Keeper, peers Peers, reader Reader, o DistributorOptions) *Distributor {
	random := o.Random
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Distributor{
		log: log, keeper: keeper, peers: peers, reader: reader, options: o, random: random,
		notices: mailbox.New[Notice](distributorCapacity), results: make(chan pullResult, maxPulls+1),
		started: latest.New(false), pulling: map[string]bool{}, silent: map[string]time.Time{},
	}
}

// Started holds true once this node has asked peers and the key-value service and has the newest revision that they
// know in force. Until then it should not say that it is ready.
func (d *Distributor) Started() *latest.Value[bool] { return d.started }

// Notice hands over a notice of a peer; it returns at once.
func (d *Distributor) Notice(n Notice) { d.notices.TrySend(n) }

// Run spreads revisions until ctx ends.
func (d *Distributor) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer d.calls.Wait()
	defer cancel()
	d.start(ctx)
	snapshot, changed := d.keeper.Current().Watch()
	told := snapshot.Revision()
	_, membersChanged := d.peers.Members().Watch()
	timer := time.NewTimer(d.nextPull())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			snapshot, changed = d.keeper.Current().Watch()
			if snapshot.Revision() > told {
				told = snapshot.Revision()
				d.tell(told)
			}
		case n := <-d.notices.Receive():
			d.hear(n.Revision, n.From)
			d.catchUp(ctx, timer)
		case <-membersChanged:
			_, membersChanged = d.peers.Members().Watch()
			d.hearMembers()
			d.catchUp(ctx, timer)
		case r := <-d.results:
			d.take(ctx, r)
			if r.err == nil {
				timer.Reset(d.nextPull())
			}
		case <-timer.C:
			d.readWhenIsolated(ctx)
			if d.pull(ctx, d.choose(), false) {
				d.unanswered = true
			}
			timer.Reset(d.nextPull())
		}
	}
}

// tell notifies random peers that are not known to have the revision.
func (d *Distributor) tell(revision int64) {
	told := 0
	for _, m := range d.shuffled() {
		if told == noticeFanout {
			return
		}
		if m.Revision < revision {
			d.peers.Notify(m.Address, Notice{Revision: revision, From: d.options.Self})
			told++
		}
	}
}

// catchUp pulls at once when this node is behind, and hurries the next pull, since this one may stall. Several peers tell
// of the same revision, which is pulled from one of them.
func (d *Distributor) catchUp(ctx context.Context, next *time.Timer) {
	if d.behind() && !d.asking() && d.pull(ctx, d.choose(), false) {
		next.Reset(d.nextPull())
	}
}

// pull in step. It is short while this node is behind and while no peer answers, since links may have stalled.
func (d *Distributor) pull(ctx context.Context, address string, starting bool) bool {
	if address == "" || d.pulling[address] || len(d.pulling) >= maxPulls {
		return false
	}
	d.pulling[address] = true
	have := d.inForce()
	d.calls.Go(func() {
		pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		reply, err := d.peers.Pull(pullCtx, address, have)
		// There is room: at most maxPulls pulls and one read of the key-value service are open.
		d.results <- pullResult{address: address, reply: reply, starting: starting, err: err}
	})
	return true
}

// take offers what was pulled to the keeper.
func (d *Distributor) take(ctx context.Context, r pullResult) {
	if r.address != "" {
		delete(d.pulling, r.address)
	} else {
		d.reading = false
	}
	if r.err == nil {
		d.heard, d.heardAt = true, time.Now()
		if r.address != "" {
			d.unanswered = false
			delete(d.silent, r.address)
		}
		d.offer(ctx, r)
	} else {
		d.forget(r.address)
		d.silent[r.address] = time.Now().Add(silentTime)
		d.log.Debug("configuration could not be pulled", zap.String("peer", r.address), zap.Error(r.err))
	}
	if r.starting {
		d.startOpen--
	}
	if d.startOpen == 0 && d.heard && !d.started.Load() {
		d.started.Publish(true)
	}
}

// offer puts what was pulled in force, if it is newer, and waits for that.
func (d *Distributor) offer(ctx context.Context, r pullResult) {
	snapshot := r.snapshot
	if r.address != "" {
		d.hear(r.reply.Revision, r.address)
		inForce := d.keeper.Current().Load()
		if snapshot = r.reply.snapshot(inForce); snapshot == nil {
			d.forget(r.address)
			return
		}
	}
	done := make(chan struct{})
	if d.keeper.Offer(ctx, Offer{Snapshot: snapshot, Done: done}) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}
