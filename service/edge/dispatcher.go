package edge

import (
	"context"
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
	// dispatcherCapacity bounds the queued messages. A sender blocks while the queue is full.
	dispatcherCapacity = 1024
	// maxWaiting bounds the requests that wait for an endpoint. Further requests are refused.
	maxWaiting = 1024
	// scanInterval is the longest time between two attempts to place the waiting requests.
	scanInterval = 25 * time.Millisecond
	// loadExpireInterval is the interval at which the load of silent nodes is checked for expiry.
	loadExpireInterval = time.Second
)

// dispatcher is the task that owns placement: the dispatch table and the requests that wait for an endpoint.
type dispatcher struct {
	log      *zap.Logger
	table    *dispatch.Table
	cluster  *latest.Value[*clusterState]
	messages mailbox.Mailbox[dispatcherMessage]
	// ownLoads publishes the load of this node's requests in flight.
	ownLoads *latest.Value[[]dispatch.Load]

	snapshot *fleet.Snapshot
	waiting  []placeMessage
	leaving  map[uint64]*leavingRun
}

func newDispatcher(log *zap.Logger, p dispatch.Params, cluster *latest.Value[*clusterState]) *dispatcher {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &dispatcher{
		log: log, table: dispatch.NewTable(time.Now(), p, random), cluster: cluster,
		messages: mailbox.New[dispatcherMessage](dispatcherCapacity), ownLoads: latest.New[[]dispatch.Load](nil),
		leaving: map[uint64]*leavingRun{},
	}
}

// run handles messages until ctx ends.
func (d *dispatcher) run(ctx context.Context) {
	expire := time.NewTicker(loadExpireInterval)
	defer expire.Stop()
	state, changed := d.cluster.Watch()
	d.applyState(state)
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
			state, changed = d.cluster.Watch()
			d.applyState(state)
		case <-scan:
			d.retryWaiting()
		case now := <-expire.C:
			d.table.ExpireOthersLoad(now)
		}
		if d.table.OwnLoadsChanged() {
			d.ownLoads.Publish(d.table.OwnLoads())
		}
	}
}

// applyState updates the dispatch table from the cluster state and notifies the sessions whose endpoints are leaving.
func (d *dispatcher) applyState(state *clusterState) {
	d.table.SetNodes(len(state.Nodes) + 1)
	if state.Fleet == d.snapshot {
		return
	}
	d.snapshot = state.Fleet
	d.table.SetSnapshot(time.Now(), state.Fleet)
	d.notifyDepartures()
	d.retryWaiting()
}

// available reports whether an endpoint is listed, not leaving and not replaced by a roll-out. For copies, its data centre must also
// be in service.
func (d *dispatcher) available(service, endpoint string, copies bool) bool {
	return slices.ContainsFunc(d.snapshot.Endpoints[service], func(e fleet.Endpoint) bool {
		return e.ID == endpoint && !e.Leaving && !(copies && d.snapshot.Out[e.DataCentre]) && d.table.RolloutAllowsRuns(service, e.Version)
	})
}

// tryPlace places or refuses a request and reports whether it did. A request that has to wait gets no reply.
func (d *dispatcher) tryPlace(now time.Time, m placeMessage) bool {
	m.request.RequireMemoryFit = now.Before(m.waitUntil)
	d.updateStateAge()
	placement, refusal := d.table.Place(now, m.request)
	var retryAfter time.Duration
	if refusal == dispatch.AllEndpointsPaused {
		retryAfter = d.table.PauseLeft(now, &m.request)
	}
	// A request does not wait for a pause that outlasts its wait.
	if refusal != "" && refusal != dispatch.RetryBudget && now.Add(retryAfter).Before(m.waitUntil) {
		return false
	}
	if refusal == "" && m.leaving != nil {
		d.leaving[placement.Run] = &leavingRun{
			service: m.request.Service, endpoint: placement.Endpoint.ID, backup: placement.Backup.ID, copyPending: m.request.CopyPending, notify: m.leaving,
		}
	}
	m.reply <- placeReply{placement: placement, refusal: refusal, retryAfter: retryAfter}
	return true
}

// enqueue adds a request to the waiting ones, by priority. If there are too many, the request does not wait.
func (d *dispatcher) enqueue(now time.Time, m placeMessage) {
	if len(d.waiting) >= maxWaiting {
		m.waitUntil = now
		d.tryPlace(now, m)
		return
	}
	index, _ := slices.BinarySearchFunc(d.waiting, m.priority+1, func(w placeMessage, p int) int { return w.priority - p })
	d.waiting = slices.Insert(d.waiting, index, m)
}

// retryWaiting tries to place the waiting requests in order and drops those whose callers are gone.
func (d *dispatcher) retryWaiting() {
	if len(d.waiting) == 0 {
		return
	}
	now := time.Now()
	d.waiting = slices.DeleteFunc(d.waiting, func(m placeMessage) bool {
		select {
		case <-m.callerGone:
			return true
		default:
			return d.tryPlace(now, m)
		}
	})
}
