package experiment

import (
	"context"
	"slices"
	"time"
)

// Run starts the site of a scenario with one policy and seed, sends the load and returns what came of it.
func Run(ctx context.Context, s Scenario, policy string, seed uint64, progress func(Progress)) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x, err := startSite(ctx, s, policy, seed)
	if err != nil {
		return Result{}, err
	}
	defer x.stop()
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		x.injectFaults(ctx)
	}()
	result := RunLoad(ctx, x.urls(), s.Workload, s.Arrivals(seed), progress)
	cancel()
	<-faults
	result.Policy, result.Seed = policy, seed
	x.count(&result)
	return result, nil
}

// injectFaults brings the faults of the scenario about at their times.
func (x *site) injectFaults(ctx context.Context) {
	start := time.Now()
	for _, f := range slices.SortedFunc(slices.Values(x.scenario.Faults), func(a, b Fault) int { return int(a.At - b.At) }) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(f.At))):
		}
		switch f.Action {
		case ActionTakeOut, ActionBringBack:
			_ = x.change(dataCentreObject(f.DataCentre, x.scenario.Name, f.Action == ActionTakeOut))
		case ActionCrash:
			x.engines[f.DataCentre][0].Crash()
		case ActionTurnCold:
			x.engines[f.DataCentre][0].TurnCold()
		}
	}
}

// count adds what the endpoints saw.
func (x *site) count(r *Result) {
	for _, engines := range x.engines {
		for _, e := range engines {
			stats := e.Stats()
			r.Preemptions += stats.Preemptions
			r.ColdExcess += stats.ColdExcess
		}
	}
	runs := map[string]int{}
	for _, p := range x.plain {
		for key, n := range p.Stats().Runs {
			runs[key] += n
		}
	}
	for key, n := range runs {
		if key != "" && n > 1 {
			r.Repeated++
		}
	}
}
