package soak

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/fake/workers"
)

const (
	// leaveNotice is the time from the announcement that a worker leaves until the worker is killed.
	leaveNotice = 1500 * time.Millisecond
	// unlistedLeaveNotice is that time for a worker whose entry does not show that it leaves. It exceeds leavingBound.
	unlistedLeaveNotice = leavingBound + 1500*time.Millisecond
	// replacementDelay is the time from the end of a worker to the start of its replacement.
	replacementDelay = 1500 * time.Millisecond
)

func (i *injector) injectWorkerFault(ctx context.Context, f fault) func(context.Context) {
	w := i.workers[f.target]
	link := i.site.Links[w.ID]
	heal := func(context.Context) {
		// The link of a worker that was replaced in the meantime stays cut.
		if i.workers[f.target] == w {
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
		return i.setBehaviour(ctx, f, workers.Refuse, workers.Fail, workers.Reset, workers.Truncate, workers.WrongRequestID)
	case workerBreak:
		broken := []workers.Behaviour{workers.InvalidStatus, workers.InvalidFieldName}
		if w.Direct {
			broken = append(broken, workers.ResetEarly)
		}
		return i.setBehaviour(ctx, f, broken...)
	case workerCrash:
		i.endWorker(f.target, f.length)
	case workerLeave:
		i.announceLeaving(ctx, f)
	}
	return nil
}

// setBehaviour gives the worker of a fault one of the behaviours, and returns a function that ends it.
func (i *injector) setBehaviour(ctx context.Context, f fault, choices ...workers.Behaviour) func(context.Context) {
	id := i.workers[f.target].ID
	i.site.Fleet.SetBehaviour(ctx, id, choices[f.variant%len(choices)])
	return func(ctx context.Context) { i.site.Fleet.SetBehaviour(ctx, id, workers.Serve) }
}

// announceLeaving announces that a worker leaves, by marking its entry as draining, by removing the entry or only in its answers,
// and schedules the worker's end.
func (i *injector) announceLeaving(ctx context.Context, f fault) {
	w, notice := i.workers[f.target], leaveNotice
	switch f.variant % 4 {
	case 0:
		i.site.RemoveWorkerEntry(w.ID)
		i.departures = append(i.departures, departure{name: w.ID, acknowledgedAt: time.Now()})
	case 1:
		i.site.Fleet.Leave(ctx, w.ID)
		notice = unlistedLeaveNotice
	default:
		i.site.PutWorkerEntry(w, "draining")
		i.departures = append(i.departures, departure{name: w.ID, acknowledgedAt: time.Now()})
	}
	i.schedule(notice, func(context.Context) {
		if i.workers[f.target] == w {
			i.endWorker(f.target, 0)
		}
	})
}

// endWorker kills the worker of a slot, removes its entry after entryStays and schedules the start of a replacement.
func (i *injector) endWorker(slot int, entryStays time.Duration) {
	w := i.workers[slot]
	i.workers[slot] = nil
	i.site.KillWorker(w.ID)
	i.schedule(entryStays, func(context.Context) { i.site.RemoveWorkerEntry(w.ID) })
	i.schedule(replacementDelay, func(context.Context) { i.startWorker(slot, true) })
}

// startWorker starts a worker in a slot.
func (i *injector) startWorker(slot int, cold bool) {
	if i.workers[slot] != nil {
		// A roll-out has filled the slot meanwhile.
		return
	}
	i.startCounts[slot]++
	w := addWorker(i.site, slot, i.startCounts[slot], i.versionOf(slot), cold, i.changeWorker...)
	i.workers[slot] = w
	if w.ColdFor > 0 {
		i.coldUntil[w.ID] = time.Now().Add(w.ColdFor)
	}
}
