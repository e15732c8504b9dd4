package soak

import (
	"context"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/fake/workers"
)

// Final states as operators read them.
const (
	stateCompleted = "completed"
	stateReverted  = "reverted"
)

// targetNumber is the number in the names of the target's workers, which no replacement of a slot reaches.
const targetNumber = 1000

// beginRollout starts the workers of the target and writes the order.
func (i *injector) beginRollout(ctx context.Context, p *rolloutPlan) {
	i.rollout = &rolloutRecord{rolloutPlan: *p}
	from, to := p.slots()
	i.site.OrderRollout(p.service, targetVersion, rolloutDuration)
	i.rollout.ordered = time.Now()
	for slot := from; slot < to; slot++ {
		i.targets = append(i.targets, addWorker(i.site, slot, targetNumber, targetVersion, false))
	}
	if p.isBad {
		i.schedule(p.badAfter, i.spoilTarget)
	}
	i.pollRollout(ctx)
}

// spoilTarget makes all workers of the target fail.
func (i *injector) spoilTarget(ctx context.Context) {
	i.rollout.badFrom = time.Now()
	for _, w := range i.targets {
		i.site.Fleet.SetBehaviour(ctx, w.ID, workers.Fail)
	}
}

// pollRollout reads the status until it has stayed final for some time, or the deadline has passed for long.
func (i *injector) pollRollout(context.Context) {
	r := i.rollout
	state, _, _ := strings.Cut(i.site.RolloutStatus(r.service), " ")
	if state != "" && (len(r.states) == 0 || r.states[len(r.states)-1] != state) {
		r.states = append(r.states, state)
		i.applyFinalState(state)
	}
	end := r.ordered.Add(rolloutDuration + recoveryTime)
	if !r.finalAt.IsZero() {
		end = r.finalAt.Add(drainTime + time.Second)
	}
	if time.Now().Before(end) {
		i.schedule(rolloutPollInterval, i.pollRollout)
	}
}

// applyFinalState ends the old workers at once when the target is completed, and those of the target some seconds after it was
// reverted.
func (i *injector) applyFinalState(state string) {
	if !i.rollout.finalAt.IsZero() || state != stateCompleted && state != stateReverted {
		return
	}
	i.rollout.finalAt = time.Now()
	if state == stateReverted {
		i.schedule(drainTime, func(context.Context) {
			for _, w := range i.targets {
				i.site.RemoveWorkerEntry(w.ID)
				i.site.KillWorker(w.ID)
			}
		})
		return
	}
	from, to := i.rollout.slots()
	for slot := from; slot < to; slot++ {
		if w := i.workers[slot]; w != nil {
			i.site.KillWorker(w.ID)
			i.site.RemoveWorkerEntry(w.ID)
		}
		// Replacements that are due, and faults, then concern the workers of the target.
		i.workers[slot] = i.targets[slot-from]
	}
}

// versionOf returns the version of a worker that is started in a slot.
func (i *injector) versionOf(slot int) string {
	if r := i.rollout; r != nil && r.final() == stateCompleted {
		if from, to := r.slots(); from <= slot && slot < to {
			return targetVersion
		}
	}
	return oldVersion
}
