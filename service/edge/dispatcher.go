package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/fleet"
)

const (
	// dispatcherCapacity bounds the waiting messages; a sender waits for room.
	dispatcherCapacity = 1024
	// maxWaiting bounds the requests that wait for an endpoint; further ones are refused.
	maxWaiting = 1024
	// scanInterval is the longest time without a look at the waiting requests.
	scanInterval = 25 * time.Millisecond
	// loadExpireInterval is how often the load of silent nodes is looked at.
	loadExpireInterval = time.Second
)

// dispatcher is the task that owns placement.
type dispatcher struct {
	log      *zap.Logger
	table    *dispatch.Table
	known    *latest.Value[*Knowledge]
	messages mailbox.Mailbox[dispatcherMessage]
	// own publishes what this node has in flight.
	own *latest.Value[[]dispatch.Load]

	snapshot *fleet.Snapshot
	waiting  []placeMessage
	leaving  map[uint64]*leavingRun
}

func newDispatcher(log *zap.Logger, p dispatch.Params, known *latest.Value[*Knowledge]) *dispatcher {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &dispatcher{
		log: log, table: dispatch.NewTable(time.Now(), p, random), known: known,
		messages: mailbox.New[dispatcherMessage](dispatcherCapacity), own: latest.New[[]dispatch.Load](nil),
		leaving: map[uint64]*leavingRun{},
	}
}

// run handles messages until ctx ends.
func (d *dispatcher) run(ctx context.Context) {
	expire := time.NewTicker(loadExpireInterval)
	defer expire.Stop()
	knowledge, changed := d.known.Watch()
	d.learn(knowledge)
	for {
		var scan <-chan time.Time
		if len(d.waiting) > 0 {
			scan = time.After(scanInterval)
		}
		select {
		case <-ctx.Done():
			return
		case m := <-d.messages.Receive():
			m.apply(d)
		case <-changed:
			knowledge, changed = d.known.Watch()
			d.learn(knowledge)
		case <-scan:
			d.retryWaiting()
		case now := <-expire.C:
			d.table.Expire(now)
		}
		if d.table.Changed() {
			d.own.Publish(d.table.Own())
		}
	}
}

// learn takes over what the node knows, and tells the sessions whose endpoints leave.
func (d *dispatcher) learn(k *Knowledge) {
	d.table.SetNodes(len(k.Nodes) + 1)
	if k.Fleet == d.snapshot {
		return
	}
	d.snapshot = k.Fleet
	d.table.SetSnapshot(time.Now(), k.Fleet)
	maps.DeleteFunc(d.leaving, func(_ uint64, r *leavingRun) bool { return !r.tell(d.stays) })
	d.retryWaiting()
}

// stays reports whether an endpoint is listed and does not leave. For copies its data centre must not be out either.
func (d *dispatcher) stays(service, endpoint string, copies bool) bool {
	return slices.ContainsFunc(d.snapshot.Endpoints[service], func(e fleet.Endpoint) bool {
		return e.ID == endpoint && !e.Leaving && !(copies && d.snapshot.Out[e.DataCentre])
	})
}

// try answers a request if it can be placed or can never be.
func (d *dispatcher) try(now time.Time, m placeMessage) bool {
	m.request.Patient = now.Before(m.until)
	placed, refusal := d.table.Place(now, m.request)
	if refusal != "" && refusal != dispatch.RetryBudget && now.Before(m.until) {
		return false
	}
	if refusal == "" && m.leaving != nil {
		d.leaving[placed.Run] = &leavingRun{
			service: m.request.Service, endpoint: placed.Endpoint.ID, backup: placed.Backup.ID, copies: m.request.Copies, notify: m.leaving,
		}
	}
	m.reply <- placeReply{placed: placed, refusal: refusal}
	return true
}

// wait keeps a request until an endpoint is free.
func (d *dispatcher) wait(now time.Time, m placeMessage) {
	if len(d.waiting) >= maxWaiting {
		m.until = now
		d.try(now, m)
		return
	}
	at, _ := slices.BinarySearchFunc(d.waiting, m.priority+1, func(w placeMessage, p int) int { return w.priority - p })
	d.waiting = slices.Insert(d.waiting, at, m)
}

// retryWaiting tries the waiting requests in order.
func (d *dispatcher) retryWaiting() {
	if len(d.waiting) == 0 {
		return
	}
	now := time.Now()
	d.waiting = slices.DeleteFunc(d.waiting, func(m placeMessage) bool {
		select {
		case <-m.gone:
			return true
		default:
			return d.try(now, m)
		}
	})
}
