package router

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/routing"
)

// ownerPause is the longest wait before a cell is asked again whose owner could not be reached or has changed. A change of
// the member table or of the own cells ends the wait early.
const ownerPause = 250 * time.Millisecond

// placement is one call of Place.
type placement struct {
	router  *Router
	request message.PlaceRequest
	started time.Time
	// tried holds the cells that were asked; those that may soon have another owner are true.
	tried map[string]bool
	last  *message.Refusal
}

// Place asks the owners of cells for a grant until one makes it, all refuse, or ctx ends. The wait of the request counts
// from the call. After an error, no grant is left with an owner that can be reached.
func (r *Router) Place(ctx context.Context, req message.PlaceRequest) (message.PlaceReply, error) {
	p := &placement{router: r, request: req, started: time.Now(), tried: map[string]bool{}}
	for {
		snapshot, configChanged := r.config.Watch()
		find, cellsChanged := r.cells()
		table, tableChanged := r.options.Members.Watch()
		routes := r.routes(snapshot, table, find, req)
		if len(routes) == 0 {
			return refused(verdict.ReasonNoEndpoint, "no data centre is open for this work"), nil
		}
		way, ok, err := p.next(ctx, routes)
		if err != nil {
			return p.giveUp(ctx)
		}
		if ok {
			reply, done := p.ask(ctx, way)
			switch {
			case !done:
				continue
			case reply.Grant != nil || reply.Refusal != nil:
				return reply, nil
			default:
				return p.giveUp(ctx)
			}
		}
		if p.last != nil && !p.mayRetry() {
			return message.PlaceReply{Refusal: p.last}, nil
		}
		pause := time.NewTimer(min(ownerPause, max(0, p.remaining())))
		select {
		case <-configChanged:
		case <-cellsChanged:
		case <-tableChanged:
		case <-pause.C:
			if p.remaining() <= 0 {
				return p.giveUp(ctx)
			}
		case <-ctx.Done():
		}
		pause.Stop()
		if ctx.Err() != nil {
			return p.giveUp(ctx)
		}
		p.forgetRetryable()
	}
}

// next chooses an open route that was not tried.
func (p *placement) next(ctx context.Context, routes []route) (route, bool, error) {
	var open []route
	var candidates []routing.Candidate
	for _, way := range routes {
		if _, tried := p.tried[way.candidate.Cell]; !tried && way.open() {
			open = append(open, way)
			candidates = append(candidates, way.candidate)
		}
	}
	if len(open) == 0 {
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
	return open[i], true, nil
}

// ask sends the request one way, and reports whether the placement is done.
func (p *placement) ask(ctx context.Context, way route) (message.PlaceReply, bool) {
	asked := time.Now()
	req := p.request
	req.Cell = way.candidate.Cell
	req.MaxWait = max(0, p.remaining())
	reply, err := p.router.ask(ctx, way, req)
	outcome := outcomeMessage{cell: req.Cell, failed: err != nil, summary: reply.Summary}
	if ctx.Err() == nil || err == nil {
		p.router.messages.TrySend(outcome)
	}
	switch {
	case err != nil:
		p.tried[req.Cell] = true
		return message.PlaceReply{}, ctx.Err() != nil
	case reply.Grant != nil:
		// The cell counts the validity from its own receipt of the request; the caller counts from the start of Place.
		reply.Grant.StartWithin += asked.Sub(p.started)
		return reply, true
	case reply.Refusal == nil:
		p.tried[req.Cell] = true
		return message.PlaceReply{}, false
	}
	p.last = reply.Refusal
	p.tried[req.Cell] = reply.Refusal.Reason == verdict.ReasonNoOwner || reply.Refusal.Reason == verdict.ReasonStopping
	return reply, !elsewhere(reply.Refusal.Reason)
}

// elsewhere reports whether another cell may answer differently.
func elsewhere(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonBusy, verdict.ReasonNoOwner, verdict.ReasonNoEndpoint, verdict.ReasonQueueTimeout,
		verdict.ReasonStopping, verdict.ReasonUnavailable:
		return true
	default:
		return false
	}
}

// remaining is how long the request may still wait for a placement.
func (p *placement) remaining() time.Duration { return p.request.MaxWait - time.Since(p.started) }

// mayRetry reports whether a cell that was tried may soon have another owner. Cells that refused for another reason are
// not waited for.
func (p *placement) mayRetry() bool {
	for _, retry := range p.tried {
		if !retry {
			return false
		}
	}
	return true
}

func (p *placement) forgetRetryable() {
	for name, retry := range p.tried {
		if retry {
			delete(p.tried, name)
		}
	}
}

// giveUp returns the last refusal, or says that no owner answered.
func (p *placement) giveUp(ctx context.Context) (message.PlaceReply, error) {
	switch {
	case context.Cause(ctx) == context.Canceled:
		return message.PlaceReply{}, ctx.Err()
	case p.last != nil:
		return message.PlaceReply{Refusal: p.last}, nil
	default:
		return refused(verdict.ReasonNoOwner, "no owner of a cell of this service answered in time"), nil
	}
}

func refused(reason verdict.Reason, detail string) message.PlaceReply {
	return message.PlaceReply{Refusal: &message.Refusal{Reason: reason, Detail: detail}}
}
