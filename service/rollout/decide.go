package rollout

import (
	"bytes"
	"context"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/decision/rollout"
)

// decide writes the next plan of a service, if there is one.
func (d *Decider) decide(ctx context.Context, service string) {
	r := d.rollouts[service]
	if r == nil {
		r = &storedRollout{}
		d.rollouts[service] = r
	}
	if !r.known && (d.storeFailed || !d.load(ctx, service, r)) {
		d.stopUnwritten(service, r)
		return
	}
	order := d.state.order(service)
	if r.plan != nil && (order == nil && d.state.Fleet.Plans[service].Revision < r.planRevision ||
		order != nil && order.Revision < r.plan.Order.Revision) {
		// The copy of the store is older than the plan that was read, so a newer order may not be in it yet.
		return
	}
	next := nextPlan(order, r.plan, d.state.versions(service))
	var evidence rollout.Evidence
	if next == nil && r.plan != nil && !r.plan.Phase.IsFinal() {
		next, evidence = d.judge(ctx, service, r)
	}
	if next != nil {
		d.write(ctx, service, r, next, evidence)
	}
	if d.term != nil && d.storeFailed {
		d.stopUnwritten(service, r)
	}
}

// judge returns the next plan of an open roll-out by the evidence; nil if the present one stays.
func (d *Decider) judge(ctx context.Context, service string, r *storedRollout) (*rollout.Plan, rollout.Evidence) {
	evidence, err := d.counts.Evidence(ctx, r.plan)
	if err != nil {
		return nil, evidence
	}
	key := rolloutKey{service, r.plan.Order.Revision}
	if r.judge == nil || r.judged != key {
		r.judge, r.judged = d.newJudge(), key
	}
	decision := r.judge.Decide(r.plan, evidence)
	r.revertDue = decision.Phase == rollout.Reverted
	if decision.Phase == r.plan.Phase || decision.Phase == rollout.NoPhase {
		return nil, evidence
	}
	next := *r.plan
	next.Phase, next.Reason = decision.Phase, decision.Reason
	return &next, evidence
}

// write writes a plan and its status together, under the conditions that this process is the decider and that nobody else has
// written them since they were read.
func (d *Decider) write(ctx context.Context, service string, r *storedRollout, next *rollout.Plan, e rollout.Evidence) {
	next.Decider, next.Term = d.node, d.term.revision
	value := EncodePlan(next)
	statusKey, status := d.encode(service, next.Order.Target, next.Phase)
	planKey := PlanPrefix + service
	d.log.Info("writing the plan of a roll-out", d.decisionFields(service, r, next, e)...)
	result, err := call(ctx, func(ctx context.Context) (backing.CommitResult, error) {
		return d.store.Commit(ctx, backing.Txn{
			Conditions: []backing.Condition{
				{Key: DeciderKey, ModRevision: d.term.revision},
				{Key: planKey, ModRevision: r.planRevision},
				{Key: statusKey, ModRevision: r.statusRevision},
			},
			Writes: []backing.Write{{Key: planKey, Value: value}, {Key: statusKey, Value: status}},
		})
	})
	switch {
	case err != nil:
		d.metrics.unknown.Inc(1)
		d.log.Warn("outcome of the write of a plan not known; reading it", zap.String("service", service), logging.Cause(err))
		r.known, r.unresolved = false, value
		if !d.load(ctx, service, r) {
			d.recordSilence(err)
		}
	case !result.Committed:
		d.metrics.conflicts.Inc(1)
		r.known = false
		d.checkTerm(ctx)
	default:
		d.recordAnswer()
		d.recordWritten(service, r, next, result.Revision)
	}
}

// recordWritten records that a plan is stored.
func (d *Decider) recordWritten(service string, r *storedRollout, p *rollout.Plan, revision int64) {
	r.plan, r.planRevision, r.statusRevision, r.revertDue = p, revision, revision, false
	d.metrics.countPhase(p.Phase.String())
	d.log.Info("plan of a roll-out written", zap.String("service", service), zap.Stringer("phase", p.Phase), zap.Int64("revision", revision))
}

// checkTerm ends the term if another process has the decider's key, after a write whose condition did not hold.
func (d *Decider) checkTerm(ctx context.Context) {
	entry, err := d.read(ctx, DeciderKey)
	switch {
	case err != nil:
		d.recordSilence(err)
	case entry.ModRevision != d.term.revision:
		d.loseTerm("another process has the key, or the lease has ended")
	}
}

// load reads the plan and the status of a service and reports whether that succeeded. It resolves a write whose answer was lost.
func (d *Decider) load(ctx context.Context, service string, r *storedRollout) bool {
	statusKey, _ := d.encode(service, "", rollout.Observing)
	plan, err := d.read(ctx, PlanPrefix+service)
	var status backing.Entry
	if err == nil {
		status, err = d.read(ctx, statusKey)
	}
	if err != nil {
		d.recordSilence(err)
		return false
	}
	d.recordAnswer()
	if r.unresolved != nil {
		d.log.Info("lost answer resolved", zap.String("service", service), zap.Bool("written", bytes.Equal(plan.Value, r.unresolved)),
			zap.Int64("revision", plan.ModRevision))
		r.unresolved = nil
	}
	r.plan, r.planRevision, r.statusRevision, r.known = nil, plan.ModRevision, status.ModRevision, true
	if plan.ModRevision == 0 {
		return true
	}
	if r.plan, err = DecodePlan(service, plan.Value); err != nil {
		// An order that is still open then starts anew; its target gets nothing until then.
		d.log.Warn("stored plan not usable; a new one is made", zap.String("service", service), logging.Cause(err))
		r.plan = nil
	}
	return true
}

// decisionFields returns the inputs of a decision for the log.
func (d *Decider) decisionFields(service string, r *storedRollout, next *rollout.Plan, e rollout.Evidence) []zap.Field {
	before := rollout.NoPhase
	if r.plan != nil {
		before = r.plan.Phase
	}
	return []zap.Field{
		zap.String("service", service), zap.String("target", next.Order.Target), zap.Int64("order", next.Order.Revision),
		zap.Duration("duration", next.Order.Duration), zap.Stringer("before", before), zap.Stringer("phase", next.Phase),
		zap.String("reason", next.Reason), zap.Strings("old_versions", next.OldVersions), zap.Int64("term", next.Term),
		zap.Duration("elapsed", e.Elapsed), zap.Int("old_endpoints", e.OldEndpoints), zap.Int("target_endpoints", e.TargetEndpoints),
		zap.Int("unconfirmed", e.Unconfirmed), zap.Any("counts", newOverviewCounts(e.Tally)),
	}
}
