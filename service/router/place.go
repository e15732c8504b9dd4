package router

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/routing"
)

// ownerPause is the longest wait before a retry at a cell whose owner could not be reached or has changed. A change of the
// member table or of the local cells ends the wait early.
const ownerPause = 250 * time.Millisecond

// placement is one call of Place.
type placement struct {
	router  *Router
	request message.PlaceRequest
	started time.Time
	// tried holds the cells that were tried. The value is true if the cell may soon have another owner.
	tried       map[string]bool
	lastRefusal *message.Refusal
}

// Place requests a grant from the owners of cells, one after the other, until one makes a grant, all refuse, or ctx ends.
// MaxWait of the request counts from the call of Place. After an error, any grant is released as soon as its owner can be
// reached.
func (r *Router) Place(ctx context.Context, req message.PlaceRequest) (message.PlaceReply, error) {
	p := &placement{router: r, request: req, started: time.Now(), tried: map[string]bool{}}
	for {
		snapshot, configChanged := r.config.Watch()
		find, cellsChanged := r.localCells()
		table, tableChanged := r.options.Members.Watch()
		routes := r.routes(snapshot, table, find, req)
		if len(routes) == 0 {
			return newRefusal(verdict.ReasonNoEndpoint, "no data centre is open for this work"), nil
		}
		rt, ok, err := p.chooseRoute(ctx, routes)
		if err != nil {
			return p.endWithoutGrant(ctx)
		}
		if ok {
			reply, done := p.tryRoute(ctx, rt)
			switch {
			case !done:
				continue
			case reply.Grant != nil || reply.Refusal != nil:
				return reply, nil
			default:
				return p.endWithoutGrant(ctx)
			}
		}
		if p.lastRefusal != nil && !p.mayRetry() {
			return message.PlaceReply{Refusal: p.lastRefusal}, nil
		}
		pause := time.NewTimer(min(ownerPause, max(0, p.remaining())))
		select {
		case <-configChanged:
		case <-cellsChanged:
		case <-tableChanged:
		case <-pause.C:
			if p.remaining() <= 0 {
				return p.endWithoutGrant(ctx)
			}
		case <-ctx.Done():
		}
		pause.Stop()
		if ctx.Err() != nil {
			return p.endWithoutGrant(ctx)
		}
		p.clearRetryable()
	}
}

// chooseRoute selects a reachable route that was not tried.
func (p *placement) chooseRoute(ctx context.Context, routes []route) (route, bool, error) {
	var reachable []route
	var candidates []routing.Candidate
	for _, rt := range routes {
		if _, tried := p.tried[rt.candidate.Cell]; !tried && rt.reachable() {
			reachable = append(reachable, rt)
			candidates = append(candidates, rt.candidate)
		}
	}
	if len(reachable) == 0 {
		return route{}, false, nil
	}
	if len(p.tried) > 0 && p.remaining() <= 0 {
		return route{}, false, context.DeadlineExceeded
	}
	var prefix uint64
	if len(p.request.PrefixHashes) > 0 {
		prefix = p.request.PrefixHashes[0]
	}
	i, err := mailbox.Call(ctx, p.router.messages, func(reply chan<- int) routerMessage {
		return chooseMessage{candidates: candidates, prefix: prefix, reply: reply}
	})
	if err != nil {
		return route{}, false, err
	}
	return reachable[i], true, nil
}

// tryRoute sends the request on one route, and reports whether the placement is done.
func (p *placement) tryRoute(ctx context.Context, rt route) (message.PlaceReply, bool) {
	requestedAt := time.Now()
	req := p.request
	req.Cell = rt.candidate.Cell
	req.MaxWait = max(0, p.remaining())
	reply, err := p.router.requestPlacement(ctx, rt, req)
	outcome := outcomeMessage{cell: req.Cell, failed: err != nil, summary: reply.Summary}
	if ctx.Err() == nil || err == nil {
		p.router.messages.TrySend(outcome)
	}
	switch {
	case err != nil:
		p.tried[req.Cell] = true
		return message.PlaceReply{}, ctx.Err() != nil
	case reply.Grant != nil:
		// The cell counts StartWithin from its receipt of the request, but the caller counts from the start of Place.
		reply.Grant.StartWithin += requestedAt.Sub(p.started)
		return reply, true
	case reply.Refusal == nil:
		p.tried[req.Cell] = true
		return message.PlaceReply{}, false
	}
	p.lastRefusal = reply.Refusal
	p.tried[req.Cell] = reply.Refusal.Reason == verdict.ReasonNoOwner || reply.Refusal.Reason == verdict.ReasonStopping
	return reply, !otherCellMayAccept(reply.Refusal.Reason)
}

// otherCellMayAccept reports whether another cell may accept a request that was refused for this reason.
func otherCellMayAccept(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonBusy, verdict.ReasonNoOwner, verdict.ReasonNoEndpoint, verdict.ReasonQueueTimeout,
		verdict.ReasonStopping, verdict.ReasonUnavailable:
		return true
	default:
		return false
	}
}

// remaining returns the rest of the request's MaxWait.
func (p *placement) remaining() time.Duration { return p.request.MaxWait - time.Since(p.started) }

// mayRetry reports whether every cell that was tried may soon have another owner. Place does not wait for a cell that
// refused for another reason.
func (p *placement) mayRetry() bool {
	for _, retry := range p.tried {
		if !retry {
			return false
		}
	}
	return true
}

func (p *placement) clearRetryable() {
	for name, retry := range p.tried {
		if retry {
			delete(p.tried, name)
		}
	}
}

// endWithoutGrant returns the last refusal, or a refusal with the reason no_cell_owner if no owner answered.
func (p *placement) endWithoutGrant(ctx context.Context) (message.PlaceReply, error) {
	switch {
	case context.Cause(ctx) == context.Canceled:
		return message.PlaceReply{}, ctx.Err()
	case p.lastRefusal != nil:
		return message.PlaceReply{Refusal: p.lastRefusal}, nil
	default:
		return newRefusal(verdict.ReasonNoOwner, "no owner of a cell of this service answered in time"), nil
	}
}

func newRefusal(reason verdict.Reason, detail string) message.PlaceReply {
	return message.PlaceReply{Refusal: &message.Refusal{Reason: reason, Detail: detail}}
}
