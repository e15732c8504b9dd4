package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/overload"
	"azuredyke.dev/azuredyke/service/ratelimit"
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

	speedMetrics  speedMetrics
	promptMetrics promptMetrics
	// queue holds the requests that wait in order where ordered admission is on, held their messages.
	queue *dispatch.Queue
	held  map[*dispatch.HeldRequest]placeMessage
	// ownPressure publishes what waits at this node. pressureAt is the time of the last publication, pressurePublished is set if
	// something waited then.
	ownPressure       *latest.Value[overload.Pressure]
	pressureAt        time.Time
	pressurePublished bool
	metrics           *overloadMetrics
	// announceRateLimit sends the limit of an endpoint to the other nodes without blocking.
	announceRateLimit func(ratelimit.Limit)
}

func newDispatcher(log *zap.Logger, p dispatch.Params, cluster *latest.Value[*clusterState]) *dispatcher {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	table := dispatch.NewTable(time.Now(), p, random)
	return &dispatcher{
		log: log, table: table, cluster: cluster, queue: dispatch.NewQueue(table), held: map[*dispatch.HeldRequest]placeMessage{},
		messages: mailbox.New[dispatcherMessage](dispatcherCapacity), ownLoads: latest.New[[]dispatch.Load](nil),
		leaving: map[uint64]*leavingRun{}, speedMetrics: speedMetrics{scope: tally.NoopScope},
		promptMetrics: promptMetrics{scope: tally.NoopScope}, ownPressure: latest.New(overload.Pressure{}),
		metrics: newOverloadMetrics(tally.NoopScope), announceRateLimit: func(ratelimit.Limit) {},
	}
}

// run handles messages until ctx ends.
func (d *dispatcher) run(ctx context.Context) {
	expire := time.NewTicker(loadExpireInterval)
	defer expire.Stop()
	state, changed := d.cluster.Watch()
	d.applyState(state)
	var scan <-chan time.Time
	for {
		// Messages leave the timer as it is. If each started it again, frequent ones would postpone every scan.
		if len(d.waiting)+len(d.held) == 0 && !d.pressurePublished {
			scan = nil
		} else if scan == nil {
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
			scan = nil
			d.retryWaiting()
		case now := <-expire.C:
			d.table.ExpireOthersLoad(now)
			d.table.ShareSpeeds(now)
			d.speedMetrics.record(d.table.SpeedSummaries(now))
			if d.table.OrdersAdmission() {
				d.metrics.setState(d.queue.WaitingByPriority(), d.table.Reserves(now))
			}
		}
		if d.table.OwnLoadsChanged() {
			d.ownLoads.Publish(d.table.OwnLoads())
		}
		d.publishPressure(time.Now())
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
	d.answer(m, placement, refusal, retryAfter)
	return true
}

// answer replies to a request and records a placed run, whose session is notified when its endpoint leaves.
func (d *dispatcher) answer(m placeMessage, placement dispatch.Placement, refusal dispatch.Refusal, retryAfter time.Duration) {
	if refusal == "" && m.leaving != nil {
		d.leaving[placement.Run] = &leavingRun{
			service: m.request.Service, endpoint: placement.Endpoint.ID, backup: placement.Backup.ID, copyPending: m.request.CopyPending, notify: m.leaving,
		}
	}
	if refusal == "" {
		d.promptMetrics.record(&m.request, &placement)
	}
	m.reply <- placeReply{placement: placement, refusal: refusal, retryAfter: retryAfter}
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
	now := time.Now()
	d.scanHeld(now)
	if len(d.waiting) == 0 {
		return
	}
	d.waiting = slices.DeleteFunc(d.waiting, func(m placeMessage) bool {
		if m.isGone() {
			m.drop()
			return true
		}
		return d.tryPlace(now, m)
	})
}
