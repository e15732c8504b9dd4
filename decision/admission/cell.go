package admission

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/placement"
	"azuredyke.dev/azuredyke/decision/queue"
)

// Cell admits requests to the endpoints of one cell. It is not safe for concurrent use; a single task owns it.
type Cell struct {
	id    string
	fence uint64
	// activeFrom is the time from which no grant of the previous owner can start any more.
	activeFrom   time.Time
	params       Params
	endpoints    []*endpoint
	endpointByID map[string]*endpoint
	// endpointByGrant is keyed by the numbers of the open grants.
	endpointByGrant map[uint64]*endpoint
	queue           *queue.Queue[WaitingRequest]
	placer          *placer
	lengths         *placement.LengthTables
	prefixes        *placement.PrefixIndex
	lastNumber      uint64
	dataCentreOut   bool
	fenceStale      bool
	// confirmed is Authority.Confirmed of the last call of Dispatch.
	confirmed bool
	counts    Counts
	// scanPending is set by events after which a waiting request may be able to start. lastScan is the time of the last
	// queue scan, and lastScanAuthority its authority.
	scanPending       bool
	lastScan          time.Time
	lastScanAuthority Authority
}

// NewCell returns a cell without endpoints that is owned with the given fencing token. The cell admits no request
// before activeFrom.
func NewCell(id string, fence uint64, activeFrom time.Time, params Params) *Cell {
	prefixes := placement.NewPrefixIndex()
	random := rand.New(rand.NewPCG(fence, xxh3.HashString(id)))
	return &Cell{
		id: id, fence: fence, activeFrom: activeFrom, params: params,
		endpointByID: map[string]*endpoint{}, endpointByGrant: map[uint64]*endpoint{},
		queue:   queue.New[WaitingRequest](queue.Params{Max: params.MaxQueue}),
		placer:  newPlacer(placement.NewPolicy(params.Policy, random, prefixes)),
		lengths: placement.NewLengthTables(), prefixes: prefixes,
	}
}

// SetParams replaces the parameters.
func (c *Cell) SetParams(params Params) {
	c.params, c.scanPending = params, true
	c.queue.SetParams(queue.Params{Max: params.MaxQueue})
	for _, e := range c.endpoints {
		e.clampLimit(params)
	}
}

// SetEndpoints replaces the endpoints of the host list; leaving holds the ids of the endpoints that receive no new
// work. An endpoint that is no longer listed is kept while it may be running work.
func (c *Cell) SetEndpoints(now time.Time, endpoints []message.Endpoint, leaving map[string]bool) {
	c.scanPending = true
	for _, e := range c.endpoints {
		e.delisted = true
	}
	for _, m := range endpoints {
		e := c.endpointByID[m.ID]
		if e == nil {
			e = &endpoint{limit: c.params.coldLimit(), grants: map[uint64]*grant{}}
			e.candidate.Slot = c.freeSlot()
			c.endpointByID[m.ID] = e
			c.endpoints = append(c.endpoints, e)
		}
		e.Endpoint, e.delisted, e.listedLeaving = m, false, leaving[m.ID]
	}
	slices.SortFunc(c.endpoints, func(a, b *endpoint) int { return strings.Compare(a.ID, b.ID) })
	for _, e := range c.endpoints {
		e.updateLeaving(now, c.params)
	}
	c.removeGoneEndpoints(now)
}

// freeSlot clears and returns the lowest slot of the prefix index that no endpoint uses.
func (c *Cell) freeSlot() int {
	slot := 0
	for slices.ContainsFunc(c.endpoints, func(e *endpoint) bool { return e.candidate.Slot == slot }) {
		slot++
	}
	c.prefixes.RemoveSlot(slot)
	return slot
}

// removeGoneEndpoints removes the endpoints that are off the host list and either run nothing, or are unreachable and
// have only grants that their gateways have abandoned.
func (c *Cell) removeGoneEndpoints(now time.Time) {
	c.endpoints = slices.DeleteFunc(c.endpoints, func(e *endpoint) bool {
		if !e.delisted || !c.isRemovable(now, e) {
			return false
		}
		e.state = Gone
		for number := range e.grants {
			delete(c.endpointByGrant, number)
		}
		delete(c.endpointByID, e.ID)
		return true
	})
}

func (c *Cell) isRemovable(now time.Time, e *endpoint) bool {
	if e.inFlight() == 0 {
		return true
	}
	if e.loadFailures < c.params.loadFailures() {
		return false
	}
	for _, g := range e.grants {
		if now.Before(g.releasableFrom(c.params)) {
			return false
		}
	}
	return true
}

// Endpoints returns the endpoints to poll for load reports, sorted by id.
func (c *Cell) Endpoints() []message.Endpoint {
	list := make([]message.Endpoint, 0, len(c.endpoints))
	for _, e := range c.endpoints {
		list = append(list, e.Endpoint)
	}
	return list
}

// FenceStale reports whether an endpoint has refused the cell's fencing token as too old, which shows that another node owns
// the cell.
func (c *Cell) FenceStale() bool { return c.fenceStale }

// Counts returns the totals since NewCell.
func (c *Cell) Counts() Counts { return c.counts }
