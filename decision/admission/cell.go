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
	id        string
	fence     uint64
	params    Params
	endpoints map[string]*endpoint
	queue     []Waiting
	number    uint64
}

// NewCell returns a cell without endpoints, owned with the given fencing token.
func NewCell(id string, fence uint64, params Params) *Cell {
	return &Cell{id: id, fence: fence, params: params, endpoints: map[string]*endpoint{}}
}

// SetParams replaces the parameters.
func (c *Cell) SetParams(params Params) { c.params = params }

// SetEndpoints replaces the set of endpoints; leaving names those that get no new work.
func (c *Cell) SetEndpoints(_ time.Time, endpoints []message.Endpoint, leaving map[string]bool) {
	present := map[string]bool{}
	for _, e := range endpoints {
		present[e.ID] = true
		known := c.endpoints[e.ID]
		if known == nil {
			known = &endpoint{Endpoint: e, limit: c.params.ColdLimit, grants: map[uint64]message.PlaceRequest{}}
			c.endpoints[e.ID] = known
		}
		if leaving[e.ID] {
			known.state = Leaving
		}
	}
	for id, e := range c.endpoints {
		if !present[id] {
			e.state = Leaving
			if e.inFlight() == 0 {
				delete(c.endpoints, id)
			}
		}
	}
}

// ApplyLoad takes a load report into account.
func (c *Cell) ApplyLoad(_ time.Time, load message.LoadReport) {
	e := c.endpoints[load.Endpoint]
	if e == nil {
		return
	}
	restarted := e.load.Incarnation != load.Incarnation
	e.load = load
	switch {
	case load.Leaving:
		e.state = Leaving
	case e.state == Unknown, restarted && e.state != Leaving:
		e.state, e.limit, e.completed = Cold, c.params.ColdLimit, 0
	}
}

// Enqueue adds a request to the queue, or refuses it at once.
func (c *Cell) Enqueue(_ time.Time, w Waiting) *Decision {
	if len(c.queue) >= c.params.MaxQueue {
		return refuse(w, verdict.ReasonBusy, "the queue is full")
	}
	c.queue = append(c.queue, w)
	return nil
}

// Cancel removes a waiting request.
func (c *Cell) Cancel(ticket uint64) {
	c.queue = slices.DeleteFunc(c.queue, func(w Waiting) bool { return w.Ticket == ticket })
}

// Dispatch grants what may start now and refuses what has waited too long.
func (c *Cell) Dispatch(now time.Time) []Decision {
	var decisions []Decision
	var waiting []Waiting
	for _, w := range c.queue {
		if !now.Before(w.Deadline) {
			decisions = append(decisions, *refuse(w, verdict.ReasonQueueTimeout, "no endpoint became free in time"))
			continue
		}
		if e := c.pick(w.Request); e != nil {
			decisions = append(decisions, c.grant(e, w))
			continue
		}
		waiting = append(waiting, w)
	}
	c.queue = waiting
	return decisions
}

// NextDeadline returns the earliest deadline in the queue; its second result is false when the queue is empty.
func (c *Cell) NextDeadline() (time.Time, bool) {
	if len(c.queue) == 0 {
		return time.Time{}, false
	}
	earliest := c.queue[0].Deadline
	for _, w := range c.queue[1:] {
		if w.Deadline.Before(earliest) {
			earliest = w.Deadline
		}
	}
	return earliest, true
}

// pick returns the admitting endpoint with the fewest requests in flight, or nil.
func (c *Cell) pick(r message.PlaceRequest) *endpoint {
	var best *endpoint
	for _, e := range c.endpoints {
		if !e.admits() || slices.Contains(r.Exclude, e.ID) {
			continue
		}
		if best == nil || e.inFlight() < best.inFlight() {
			best = e
		}
	}
	return best
}

// grant opens a grant for a request.
func (c *Cell) grant(e *endpoint, w Waiting) Decision {
	c.number++
	e.grants[c.number] = w.Request
	g := &message.Grant{
		Cell: c.id, Number: c.number, Fence: c.fence, Endpoint: e.Endpoint, StartWithin: c.params.StartWithin,
	}
	return Decision{Ticket: w.Ticket, Reply: message.PlaceReply{Grant: g}}
}

// ApplyReport takes the progress or the end of a grant into account. Reports of other owners' grants are ignored.
func (c *Cell) ApplyReport(_ time.Time, r message.GrantReport) {
	if r.Fence != c.fence || !r.Event.Ends() {
		return
	}
	for _, e := range c.endpoints {
		if _, ok := e.grants[r.Number]; !ok {
			continue
		}
		delete(e.grants, r.Number)
		if r.Event == message.GrantCompleted {
			c.completed(e)
		}
		if r.Leaving {
			e.state = Leaving
		}
		return
	}
}

// completed raises the limit after as many completions as the limit allows at once.
func (c *Cell) completed(e *endpoint) {
	if e.state != Cold && e.state != Warming {
		return
	}
	e.completed++
	if e.completed < e.limit {
		return
	}
	e.completed = 0
	e.limit = min(2*e.limit, c.params.MaxConcurrency)
	e.state = Warming
	if e.limit == c.params.MaxConcurrency {
		e.state = Warm
	}
}

// View returns the state of the cell.
func (c *Cell) View() View {
	v := View{Cell: c.id, Fence: c.fence, Queued: map[string]int{}}
	for _, w := range c.queue {
		v.Queued[w.Request.Workspace]++
	}
	for _, e := range c.endpoints {
		v.Endpoints = append(v.Endpoints, EndpointView{
			Endpoint: e.Endpoint, State: e.state, Limit: e.limit, InFlight: e.inFlight(), Load: e.load,
		})
	}
	slices.SortFunc(v.Endpoints, func(a, b EndpointView) int {
		return strings.Compare(a.Endpoint.ID, b.Endpoint.ID)
	})
	return v
}

func refuse(w Waiting, reason verdict.Reason, detail string) *Decision {
	return &Decision{Ticket: w.Ticket, Reply: message.PlaceReply{
		Refusal: &message.Refusal{Reason: reason, Detail: detail, RetryAfter: busyRetryAfter},
	}}
}
