package experiment

import (
	"context"
	"slices"
	"time"
)

// Run starts the site of a scenario with one placement policy and seed, sends the load and returns the measurements. It
// calls progress about once per second, unless progress is nil.
func Run(ctx context.Context, scenario Scenario, policy string, seed uint64, progress func(Progress)) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := startSite(ctx, scenario, policy, seed)
	if err != nil {
		return Result{}, err
	}
	defer s.stop()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		s.injectFaults(ctx)
	}()
	result := RunLoad(ctx, s.callerURLs(), scenario.Workload, scenario.Arrivals(seed), progress)
	cancel()
	<-faultsDone
	result.Policy, result.Seed = policy, seed
	s.addEndpointStats(&result)
	return result, nil
}

// injectFaults injects the faults of the scenario at their times, until ctx is cancelled.
func (s *site) injectFaults(ctx context.Context) {
	start := time.Now()
	for _, f := range slices.SortedFunc(slices.Values(s.scenario.Faults), func(a, b Fault) int { return int(a.At - b.At) }) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(f.At))):
		}
		switch f.Action {
		case ActionTakeOut, ActionBringBack:
			_ = s.writeObject(dataCentreObject(f.DataCentre, s.scenario.Name, f.Action == ActionTakeOut))
		case ActionCrash:
			s.engines[f.DataCentre][0].Crash()
		case ActionTurnCold:
			s.engines[f.DataCentre][0].MakeCold()
		}
	}
}

// addEndpointStats adds the counters of the endpoints to a result.
func (s *site) addEndpointStats(r *Result) {
	for _, engines := range s.engines {
		for _, e := range engines {
			stats := e.Stats()
			r.Preemptions += stats.Preemptions
			r.ColdExcess += stats.ColdExcess
		}
	}
	runs := map[string]int{}
	for _, p := range s.plainEndpoints {
		for key, n := range p.Stats().Runs {
			runs[key] += n
		}
	}
	for key, n := range runs {
		if key != "" && n > 1 {
			r.RepeatedCalls++
		}
	}
}
