package soak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/test/harness"
)

const (
	// hangupGap is the time between the hang-ups of a series.
	hangupGap = 150 * time.Millisecond
	// linkDelay is the latency of a link that is delayed, storeDelay that of a slow store.
	linkDelay  = 80 * time.Millisecond
	storeDelay = 250 * time.Millisecond
	// leaveNotice is the time from a worker's notice to its end.
	leaveNotice = 1500 * time.Millisecond
	// replaceAfter is the time after which another worker comes to the place of one that is gone.
	replaceAfter = 1500 * time.Millisecond
	// keepKeys is how many keys there are beside the one that stays.
	keepKeys = 2
)

// injector is the task that brings the faults of a plan about, and owns the links and the workers.
type injector struct {
	site    *harness.EdgeSite
	keepers []*keeper
	known   *atomic.Pointer[operations]

	began   time.Time
	places  []*workers.Worker
	numbers []int
	actions []action
	struck  []struck
	left    []departed
	// coldUntil holds until when each worker that came cold is so.
	coldUntil map[string]time.Time
}

// schedule adds an action after a time.
func (i *injector) schedule(after time.Duration, do func(ctx context.Context)) {
	a := action{at: time.Now().Add(after), do: do}
	at, _ := slices.BinarySearchFunc(i.actions, a, func(x, y action) int { return x.at.Compare(y.at) })
	i.actions = slices.Insert(i.actions, at, a)
}

// run plays the plan and returns once everything has ended, or ctx has.
func (i *injector) run(ctx context.Context, p plan) {
	i.began = time.Now()
	for _, f := range p.faults {
		i.schedule(f.at, func(ctx context.Context) { i.strike(ctx, f) })
	}
	for len(i.actions) > 0 {
		next := i.actions[0]
		i.actions = i.actions[1:]
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next.at)):
			next.do(ctx)
		}
	}
}

// strike begins a fault and schedules its end.
func (i *injector) strike(ctx context.Context, f fault) {
	s := struck{fault: f, span: span{from: time.Now(), to: time.Now().Add(f.length)}}
	if f.kind.scope() == onWorker {
		if i.places[f.target] == nil {
			return
		}
		s.worker = i.places[f.target].ID
	}
	end := i.begin(ctx, f)
	i.struck = append(i.struck, s)
	if end == nil {
		return
	}
	number := len(i.struck) - 1
	i.schedule(f.length, func(ctx context.Context) {
		end(ctx)
		i.struck[number].to = time.Now()
	})
}

// begin begins a fault and returns what ends it; nil when it ends by itself.
func (i *injector) begin(ctx context.Context, f fault) func(context.Context) {
	switch f.kind.scope() {
	case onNode, onAllNodes:
		return i.strikeNode(ctx, f)
	case onStore:
		return i.strikeStore(f)
	case onWorker:
		return i.strikeWorker(ctx, f)
	default:
		return i.operate(f)
	}
}

// order passes an order to the keeper of a node.
func (i *injector) order(ctx context.Context, o keeperOrder, node int) {
	// The error is that of the end of the run.
	_ = i.keepers[node].orders.Send(ctx, o)
}

func (i *injector) strikeNode(ctx context.Context, f fault) func(context.Context) {
	node := i.site.Nodes[f.target]
	heal := func(l *harness.Link) func(context.Context) { return func(context.Context) { l.Heal() } }
	switch f.kind {
	case allKill:
		for n := range i.keepers {
			i.order(ctx, orderKill, n)
		}
	case nodeKill:
		i.order(ctx, orderKill, f.target)
	case nodeTerm:
		i.order(ctx, orderTerminate, f.target)
	case nodeHangup:
		for n := range 1 + f.variant%4 {
			i.schedule(time.Duration(n)*hangupGap, func(ctx context.Context) { i.order(ctx, orderHangup, f.target) })
		}
	case nodePause:
		i.order(ctx, orderPause, f.target)
		return func(ctx context.Context) { i.order(ctx, orderContinue, f.target) }
	case storeLinkStall:
		node.StoreLink.Stall()
		return heal(node.StoreLink)
	case storeLinkCut:
		node.StoreLink.Cut()
		return heal(node.StoreLink)
	case storeLinkDelay:
		node.StoreLink.Delay(linkDelay)
		return heal(node.StoreLink)
	case storeLinkOneWay:
		node.StoreLink.StallOneWay(f.variant%2 == 0)
		return heal(node.StoreLink)
	case peerLinkStall:
		node.PeersLink.Stall()
		return heal(node.PeersLink)
	case peerLinkCut:
		node.PeersLink.Cut()
		return heal(node.PeersLink)
	case callerLinkReset:
		node.CallersLink.Heal()
	case callerLinkDelay:
		node.CallersLink.Delay(linkDelay)
		return heal(node.CallersLink)
	}
	return nil
}

func (i *injector) strikeStore(f fault) func(context.Context) {
	store := i.site.Store
	switch f.kind {
	case storeRefuse:
		store.Refuse(true)
		return func(context.Context) { store.Refuse(false) }
	case storeLose:
		store.LoseAnswers(true)
		return func(context.Context) { store.LoseAnswers(false) }
	case storeSlow:
		store.Delay(storeDelay)
		return func(context.Context) { store.Delay(0) }
	default:
		i.site.CompactHistory()
		return nil
	}
}

func (i *injector) strikeWorker(ctx context.Context, f fault) func(context.Context) {
	w := i.places[f.target]
	link := i.site.Links[w.ID]
	heal := func(context.Context) {
		// A worker that has gone meanwhile is not brought back.
		if i.places[f.target] == w {
			link.Heal()
		}
	}
	switch f.kind {
	case workerLinkStall:
		link.Stall()
		return heal
	case workerLinkOneWay:
		link.StallOneWay(f.variant%2 == 0)
		return heal
	case workerLinkDelay:
		link.Delay(linkDelay)
		return heal
	case workerLinkReset:
		link.Heal()
	case workerBehave:
		ways := []workers.Behaviour{workers.Refuse, workers.Fail, workers.Reset, workers.Truncate, workers.Cross}
		i.site.Fleet.Behave(ctx, w.ID, ways[f.variant%len(ways)])
		return func(ctx context.Context) { i.site.Fleet.Behave(ctx, w.ID, workers.Serve) }
	case workerCrash:
		i.end(f.target, f.length)
	case workerLeave:
		i.leave(f)
	}
	return nil
}

// leave announces that a worker leaves, by its entry or by its removal.
func (i *injector) leave(f fault) {
	w := i.places[f.target]
	if f.variant%4 == 0 {
		i.site.RemoveWorkerEntry(w.ID)
	} else {
		i.site.PutWorkerEntry(w, "draining")
	}
	i.left = append(i.left, departed{name: w.ID, acked: time.Now()})
	i.schedule(leaveNotice, func(context.Context) {
		if i.places[f.target] == w {
			i.end(f.target, 0)
		}
	})
}

// end ends the worker of a place; its entry goes a while later, and another worker comes.
func (i *injector) end(place int, entryStays time.Duration) {
	w := i.places[place]
	i.places[place] = nil
	i.site.KillWorker(w.ID)
	i.schedule(entryStays, func(context.Context) { i.site.RemoveWorkerEntry(w.ID) })
	i.schedule(replaceAfter, func(context.Context) { i.place(place, true) })
}

// place starts a worker at a place.
func (i *injector) place(place int, cold bool) {
	i.numbers[place]++
	w := addWorker(i.site, place, i.numbers[place], cold)
	i.places[place] = w
	if w.ColdFor > 0 {
		i.coldUntil[w.ID] = time.Now().Add(w.ColdFor)
	}
}

// operate makes a change as an operator.
func (i *injector) operate(f fault) func(context.Context) {
	next := *i.known.Load()
	next.revoked, next.addedAt, next.droppedAt = maps.Clone(next.revoked), maps.Clone(next.addedAt), maps.Clone(next.droppedAt)
	next.keys, next.added = slices.Clone(next.keys), slices.Clone(next.added)
	next.numbers++
	gone := ""
	switch f.kind {
	case revoke:
		if len(next.keys) > keepKeys {
			gone = next.keys[1]
			next.keys = slices.Delete(next.keys, 1, 2)
		}
		next.keys = append(next.keys, fmt.Sprint("key-", next.numbers))
	case routeAdd:
		next.added = append(next.added, fmt.Sprint("added-", next.numbers))
	case routeDrop:
		if len(next.added) == 0 {
			return nil
		}
		gone = next.added[0]
		next.added = next.added[1:]
	case evacuate:
		return i.evacuate(f)
	}
	i.site.PutConfiguration(harness.EdgeConfiguration{APIKeys: next.keys, AddedRoutes: next.added, ColdRate: coldRate})
	acked := time.Now()
	switch f.kind {
	case revoke:
		if gone != "" {
			next.revoked[gone] = acked
		}
	case routeAdd:
		next.addedAt[next.added[len(next.added)-1]] = acked
	case routeDrop:
		next.droppedAt[gone] = acked
	}
	i.known.Store(&next)
	return nil
}

// evacuate takes a data centre out until the fault ends.
func (i *injector) evacuate(f fault) func(context.Context) {
	name := dataCentres[f.target]
	i.site.SetEvacuated(name, true)
	number := len(i.left)
	i.left = append(i.left, departed{name: name, acked: time.Now(), dataCentre: true})
	return func(context.Context) {
		i.left[number].back = time.Now()
		i.site.SetEvacuated(name, false)
	}
}
