package admission

import (
	"slices"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
)

// busyRetryAfter is the advice to callers whose request was refused for lack of room.
const busyRetryAfter = time.Second

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
	byGrant map[uint64]*endpoint
	queue   []Waiting
	number  uint64
	out     bool
	stale   bool
	counts  Counts
}

// NewCell returns a cell without endpoints, owned with the given fencing token. It admits nothing before activeFrom.
func NewCell(id string, fence uint64, activeFrom time.Time, params Params) *Cell {
	return &Cell{
		id: id, fence: fence, activeFrom: activeFrom, params: params,
		byID: map[string]*endpoint{}, byGrant: map[uint64]*endpoint{},
	}
}

// SetParams replaces the parameters.
func (c *Cell) SetParams(params Params) {
	c.params = params
	for _, e := range c.endpoints {
		e.clampLimit(params)
	}
}

// SetEndpoints replaces the endpoints of the host list; leaving names those that get no new work. An endpoint that is
// missing stays while it may be running work.
func (c *Cell) SetEndpoints(now time.Time, endpoints []message.Endpoint, leaving map[string]bool) {
	for _, e := range c.endpoints {
		e.absent = true
	}
	for _, m := range endpoints {
		e := c.byID[m.ID]
		if e == nil {
			e = &endpoint{limit: c.params.coldLimit(), grants: map[uint64]*grant{}}
			c.byID[m.ID] = e
			c.endpoints = append(c.endpoints, e)
		}
		e.Endpoint, e.absent, e.listed = m, false, leaving[m.ID]
	}
	slices.SortFunc(c.endpoints, func(a, b *endpoint) int { return strings.Compare(a.ID, b.ID) })
	for _, e := range c.endpoints {
		e.updateLeaving(c.params)
	}
	c.forgetGone(now)
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

// Enqueue adds a request to the queue, or refuses it at once.
func (c *Cell) Enqueue(now time.Time, w Waiting) *Decision {
	w.Since = now
	if len(c.queue) >= c.params.MaxQueue {
		return c.refuse(w, verdict.ReasonBusy, "the queue is full")
	}
	c.queue = append(c.queue, w)
	return nil
}

// Cancel removes a waiting request.
func (c *Cell) Cancel(ticket uint64) {
	c.queue = slices.DeleteFunc(c.queue, func(w Waiting) bool { return w.Ticket == ticket })
}

// Stale reports whether an endpoint has refused the cell's fencing token as too old: another node owns the cell.
func (c *Cell) Stale() bool { return c.stale }

// Counts returns what happened since the cell began.
func (c *Cell) Counts() Counts { return c.counts }
