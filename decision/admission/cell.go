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

// Cell decides for the endpoints of one cell. It is not safe for concurrent use; one task owns it.
type Cell struct {
	id    string
	fence uint64
	// activeFrom is when the grants of the owner before can no longer start.
	activeFrom time.Time
	params     Params
	endpoints  []*endpoint
	byID       map[string]*endpoint
	// byGrant maps the number of each open grant to its endpoint.
	byGrant  map[uint64]*endpoint
	queue    *queue.Queue[Waiting]
	placer   *placer
	lengths  *placement.LengthTables
	prefixes *placement.PrefixIndex
	number   uint64
	out      bool
	stale    bool
	// confirmed is that of the last decision.
	confirmed bool
	counts    Counts
	// changed is set when something happened that may let a waiting request start; scanned is when the queue was last
	// looked at, and scannedWith the authority of that moment.
	changed     bool
	scanned     time.Time
	scannedWith Authority
}

// NewCell returns a cell without endpoints, owned with the given fencing token. It admits nothing before activeFrom.
func NewCell(id string, fence uint64, activeFrom time.Time, params Params) *Cell {
	prefixes := placement.NewPrefixIndex()
	random := rand.New(rand.NewPCG(fence, xxh3.HashString(id)))
	return &Cell{
		id: id, fence: fence, activeFrom: activeFrom, params: params,
		byID: map[string]*endpoint{}, byGrant: map[uint64]*endpoint{},
		queue:   queue.New[Waiting](queue.Params{Max: params.MaxQueue}),
		placer:  newPlacer(placement.NewPolicy(params.Policy, random, prefixes)),
		lengths: placement.NewLengthTables(), prefixes: prefixes,
	}
}

// SetParams replaces the parameters.
func (c *Cell) SetParams(params Params) {
	c.params, c.changed = params, true
	c.queue.SetParams(queue.Params{Max: params.MaxQueue})
	for _, e := range c.endpoints {
		e.clampLimit(params)
	}
}

// SetEndpoints replaces the endpoints of the host list; leaving names those that get no new work. An endpoint that is
// missing stays while it may be running work.
func (c *Cell) SetEndpoints(now time.Time, endpoints []message.Endpoint, leaving map[string]bool) {
	c.changed = true
	for _, e := range c.endpoints {
		e.absent = true
	}
	for _, m := range endpoints {
		e := c.byID[m.ID]
		if e == nil {
			e = &endpoint{limit: c.params.coldLimit(), grants: map[uint64]*grant{}}
			e.candidate.Slot = c.freeSlot()
			c.byID[m.ID] = e
			c.endpoints = append(c.endpoints, e)
		}
		e.Endpoint, e.absent, e.listed = m, false, leaving[m.ID]
	}
	slices.SortFunc(c.endpoints, func(a, b *endpoint) int { return strings.Compare(a.ID, b.ID) })
	for _, e := range c.endpoints {
		e.updateLeaving(now, c.params)
	}
	c.forgetGone(now)
}

// freeSlot returns the lowest slot of the prefix index that no endpoint has, and empties it.
func (c *Cell) freeSlot() int {
	slot := 0
	for slices.ContainsFunc(c.endpoints, func(e *endpoint) bool { return e.candidate.Slot == slot }) {
		slot++
	}
	c.prefixes.Forget(slot)
	return slot
}

// forgetGone removes the endpoints that are off the host list and run nothing, or cannot be reached any more and have
// only work whose gateways gave up.
func (c *Cell) forgetGone(now time.Time) {
	c.endpoints = slices.DeleteFunc(c.endpoints, func(e *endpoint) bool {
		if !e.absent || !c.isDone(now, e) {
			return false
		}
		e.state = Gone
		for number := range e.grants {
			delete(c.byGrant, number)
		}
		delete(c.byID, e.ID)
		return true
	})
}

func (c *Cell) isDone(now time.Time, e *endpoint) bool {
	if e.inFlight() == 0 {
		return true
	}
	if e.failures < c.params.loadFailures() {
		return false
	}
	for _, g := range e.grants {
		if now.Before(g.doubtFrom(c.params)) {
			return false
		}
	}
	return true
}

// Endpoints returns the endpoints whose load reports are needed, sorted by id.
func (c *Cell) Endpoints() []message.Endpoint {
	list := make([]message.Endpoint, 0, len(c.endpoints))
	for _, e := range c.endpoints {
		list = append(list, e.Endpoint)
	}
	return list
}

// Stale reports whether an endpoint has refused the cell's fencing token as too old: another node owns the cell.
func (c *Cell) Stale() bool { return c.stale }

// Counts returns what happened since the cell began.
func (c *Cell) Counts() Counts { return c.counts }
