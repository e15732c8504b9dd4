package dispatch

import (
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/overload"
)

// maxHeld bounds the requests that wait at a node.
const maxHeld = 1024

// Queue holds the requests of a node that wait for room, in order of urgency. It is not safe for concurrent use; the owner of the
// table owns it.
type Queue struct {
	table *Table
	held  []*HeldRequest
	// stopping is set once the node stops, from when on requests no longer wait.
	stopping bool
	// others is the pressure of the other nodes, its only source. share is derived from it and the usage of this node.
	others *overload.PressureSums
	share  overload.FairShare
}

// NewQueue returns an empty queue of requests that are placed by table.
func NewQueue(table *Table) *Queue { return &Queue{table: table, others: overload.NewPressureSums()} }

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.held) }

// WaitingByPriority returns the number of requests that wait by their stated priority.
func (q *Queue) WaitingByPriority() map[int]int {
	waiting := map[int]int{}
	for _, h := range q.held {
		waiting[h.Priority]++
	}
	return waiting
}

// Stop ends the wait of all requests, present and future, at the next Scan.
func (q *Queue) Stop() { q.stopping = true }

// SetOthers replaces the pressure of the other nodes.
func (q *Queue) SetOthers(now time.Time, p overload.Pressure) { q.others.Record(now, "", p) }

// Others returns the pressure of the other nodes; it is zero if they are silent.
func (q *Queue) Others(now time.Time) overload.Pressure { return q.others.Of(now, "") }

// OthersWait reports whether requests wait at other nodes.
func (q *Queue) OthersWait(now time.Time) bool { return !q.Others(now).IsZero() }

// Offer adds a request and returns the decisions that follow from it. If too many requests wait, the last one no longer does.
func (q *Queue) Offer(now time.Time, h *HeldRequest) []Decision {
	if h.Request.PromptTokens > 0 {
		h.FirstEventTime = q.table.prefillTime(h.Request.Service, h.Priority, h.Request.PromptTokens)
		h.HoldUntil = h.HoldUntil.Add(-h.FirstEventTime)
	}
	h.HeldSince = now
	q.held = append(q.held, h)
	decisions := q.shed(now, h, q.Scan(now, nil))
	if last := len(q.held) - 1; last >= maxHeld {
		overflow := q.held[last]
		q.held = q.held[:last]
		overflow.HoldUntil, overflow.WaitUntil = now, now
		d, _ := q.decide(now, overflow)
		refused := []Decision{d}
		q.setRetryAfter(now, refused)
		decisions = append(decisions, refused...)
	}
	return decisions
}

// shed refuses the request h if it still waits but can't start in time, because so much waits before it on all nodes.
func (q *Queue) shed(now time.Time, h *HeldRequest, decisions []Decision) []Decision {
	i := slices.Index(q.held, h)
	if i < 0 || h.Request.Tokens == 0 {
		return decisions
	}
	expected := q.expectedWait(now, h)
	if !overload.IsHopelessWait(expected, h.HoldUntil.Sub(now)) {
		return decisions
	}
	q.held = slices.Delete(q.held, i, i+1)
	return append(decisions, Decision{Held: h, Refusal: Overloaded, RetryAfter: overload.RetryAfter(expected)})
}

// expectedWait returns the time until those requests have started that are not less urgent than h.
func (q *Queue) expectedWait(now time.Time, h *HeldRequest) time.Duration {
	var demand overload.MoreUrgent
	p, shape := q.Others(now), h.shape(now, q.share)
	p.NotLessUrgent(&demand, shape.Service, shape.Rank)
	var own overload.Pressure
	for _, o := range q.held {
		if o != h && o.Request.Tokens > 0 {
			own.AddWaiting(o.shape(now, q.share))
		}
	}
	own.NotLessUrgent(&demand, shape.Service, shape.Rank)
	return q.table.capacity(shape.Service, h.Priority).ExpectedWait(demand, h.RunTime)
}

// Scan tries to place the requests in order of urgency and drops those for which gone, if it is not nil, returns true. A request that
// fits nowhere doesn't block the others, but less urgent ones leave it the room that it waits for.
func (q *Queue) Scan(now time.Time, gone func(*HeldRequest) bool) []Decision {
	others := q.Others(now)
	q.share = overload.NewFairShare(q.usage().Add(others).Usage)
	slices.SortStableFunc(q.held, func(a, b *HeldRequest) int { return a.Compare(now, &b.WaitingRequest, q.share) })
	var decisions []Decision
	scan := overload.NewScan()
	q.held = slices.DeleteFunc(q.held, func(h *HeldRequest) bool {
		if gone != nil && gone(h) {
			return true
		}
		shape := h.shape(now, q.share)
		if !q.mustDecide(now, h) && scan.IsHopeless(shape) {
			scan.Block(shape, false)
			return false
		}
		h.Request.MoreUrgent, h.Request.Contenders = overload.MoreUrgent{}, 0
		if !h.IsAged(now) {
			h.Request.MoreUrgent = scan.MoreUrgent(shape, others)
		}
		h.Request.LeavesAllRoom = q.share.Exceeds(h.Workspace)
		if h.hasWaited || h.Request.LeavesAllRoom {
			// All nodes see free memory at about the same moment. A request that arrives later doesn't meet that rush.
			h.Request.Contenders = 1 + others.Requests(shape.Service, shape.Rank)
		}
		h.hasWaited = true
		d, waits := q.decide(now, h)
		if waits {
			scan.Block(shape, d.Refusal == AllEndpointsFull && len(h.Request.Exclude) == 0)
			return false
		}
		decisions = append(decisions, d)
		return true
	})
	q.setRetryAfter(now, decisions)
	return decisions
}

// setRetryAfter sets the times after which requests for which there was no room are told to come back. They depend on what still waits.
func (q *Queue) setRetryAfter(now time.Time, decisions []Decision) {
	for i := range decisions {
		if d := &decisions[i]; d.Refusal == AllEndpointsFull || d.Refusal == LeftToOthers {
			d.RetryAfter = overload.RetryAfter(q.expectedWait(now, d.Held))
		}
	}
}

// mustDecide reports whether a request can't wait any longer.
func (q *Queue) mustDecide(now time.Time, h *HeldRequest) bool {
	return q.stopping || !now.Before(h.HoldUntil)
}

// maySendWithoutLimits reports whether a request goes to an engine that queues it at the end of its wait: if its deadline still allows a
// run, and if it is not late or of the most urgent class. A late run of another class would take the memory of one of its class that
// can still be in time.
func (q *Queue) maySendWithoutLimits(now time.Time, h *HeldRequest) bool {
	return !now.Add(h.RunTime).After(h.Deadline) && (!h.IsLate(now) || q.table.isMostUrgent(h.Request.Service, h.Priority))
}

// decide tries to place a request and reports whether it has to wait. At the end of its wait it may go to an engine that queues it;
// otherwise it is refused.
func (q *Queue) decide(now time.Time, h *HeldRequest) (d Decision, waits bool) {
	last := q.mustDecide(now, h)
	h.Request.WithoutLimits = last && q.maySendWithoutLimits(now, h)
	r := h.Request
	if last {
		// The request no longer leaves room to others. It keeps what it left room for, for the log.
		r.MoreUrgent, r.Contenders = overload.MoreUrgent{}, 0
	}
	d.Held = h
	d.Placement, d.Refusal = q.table.Place(now, r)
	if d.Refusal == AllEndpointsPaused {
		d.RetryAfter = q.table.PauseLeft(now, &r)
	}
	if d.Refusal == "" || d.Refusal == RetryBudget || last {
		return d, false
	}
	return d, now.Add(d.RetryAfter).Before(h.refusedUntil(d.Refusal))
}

// Pressure returns what waits at this node, and what the workspaces use and wait for.
func (q *Queue) Pressure(now time.Time) overload.Pressure {
	p := q.usage()
	for _, h := range q.held {
		if h.Request.Tokens == 0 {
			continue
		}
		p.AddWaiting(h.shape(now, q.share))
	}
	return p
}

// usage returns the usage of the workspaces by this node, sorted by workspace.
func (q *Queue) usage() overload.Pressure {
	waiting := map[string]int{}
	for _, h := range q.held {
		if h.Request.Tokens > 0 {
			waiting[h.Workspace] += h.Request.Tokens
		}
	}
	var usage []overload.WorkspaceUsage
	for workspace, used := range q.table.usage {
		usage = append(usage, overload.WorkspaceUsage{Workspace: workspace, Used: used, Waiting: waiting[workspace]})
		delete(waiting, workspace)
	}
	for workspace, tokens := range waiting {
		usage = append(usage, overload.WorkspaceUsage{Workspace: workspace, Waiting: tokens})
	}
	return overload.Pressure{Usage: overload.SortUsage(usage)}
}
