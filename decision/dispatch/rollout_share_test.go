package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// Guards against times of endpoints in their cold start that are compared with those of warm ones.
func TestRunsOnColdEndpointsAreMarked(t *testing.T) {
	for _, cold := range []bool{false, true} {
		table, s := newRolloutTable(1, rollout.Promoting)
		for i := range s.Endpoints["s"] {
			if cold {
				s.Endpoints["s"][i].ColdFor, s.Endpoints["s"][i].ColdUntil = time.Minute, start.Add(time.Minute)
			}
		}
		table.SetSnapshot(start, s)
		placed, refusal := table.Place(start, request(10))
		assert.Equal(t, refusal, Refusal(""))
		assert.Equal(t, placed.Rollout.Cold, cold)
	}
}

// Guards against a canary endpoint of a small service that gets its requests spread over the whole time, without the load at which a
// fault shows; and against a share that goes to no endpoint because the first one does not accept requests.
func TestCanaryRequestsComeInPulses(t *testing.T) {
	table, s := newRolloutTable(1, rollout.Observing)
	s.Endpoints["s"] = append(s.Endpoints["s"][:4:4], s.Endpoints["s"][10:14]...)
	table = NewTable(start.Add(-time.Hour), table.params, rand.New(rand.NewPCG(1, 2)))
	table.SetSnapshot(start, s)
	used, closed := map[string]bool{}, 0
	for i := range 4000 {
		now := start.Add(time.Duration(i) * 4 * time.Millisecond)
		placed, refusal := table.Place(now, request(10))
		assert.Equal(t, refusal, Refusal(""))
		if placed.Endpoint.Version == "v2" {
			used[placed.Endpoint.ID] = true
			if position := i % 1000; position < 280 || position > 720 {
				closed++
			}
			if len(used) == 1 {
				table.RecordPause(now, &placed.Endpoint.Endpoint, time.Second)
			}
		}
		table.Release(now, placed.Run, Succeeded)
	}
	assert.Equal(t, closed, 0)
	assert.Assert(t, len(used) > 1, "%v", used)
}

// Guards against a choice by speed, or a limit of ordered admission, that takes an endpoint of a version that the roll-out rules out: for
// requests that are placed at once, held requests, backups and copies.
func TestGroupsApplyBeforeAdmissionAndSpeed(t *testing.T) {
	for phase, versions := range map[rollout.Phase][]string{
		rollout.NoPhase: {"v1", "v3"}, rollout.Observing: {"v1", "v2"}, rollout.Promoting: {"v2"}, rollout.Completed: {"v2", "v3"},
		rollout.Reverted: {"v1"},
	} {
		_, s := newRolloutTable(3, phase)
		with := params
		with.CanaryShare, with.EndpointSpeed, with.OrderedAdmission = 0.08, true, true
		table := NewTable(start.Add(-time.Hour), with, rand.New(rand.NewPCG(3, 2)))
		table.SetSnapshot(start, s)
		queue, used := NewQueue(table), map[string]bool{}
		for range 300 {
			h := newHeld("w", 0, 200)
			h.Request.Backup = true
			for _, d := range queue.Offer(start, h) {
				assert.Equal(t, d.Refusal, Refusal(""))
				used[d.Placement.Endpoint.Version] = true
				if backup := d.Placement.Backup; backup.ID != "" {
					assert.Assert(t, table.rollouts["s"].allowsCopy(d.Placement.Endpoint.Version, backup.Version), "%s: backup on %s", phase, backup.Version)
				}
				table.Release(start, d.Placement.Run, Succeeded)
			}
		}
		assert.Equal(t, len(used), len(versions), "%s: %v", phase, used)
		for _, version := range versions {
			assert.Assert(t, used[version], "%s: %v", phase, used)
		}
	}
}

// Guards against requests that leave room for runs of a version that was replaced, when all of its engines leave at once.
func TestReplacedEnginesNeedNoReserve(t *testing.T) {
	for phase, want := range map[rollout.Phase]bool{rollout.Observing: true, rollout.Completed: false} {
		table, s := newRolloutTable(1, phase)
		for i := range s.Endpoints["s"] {
			s.Endpoints["s"][i].Leaving = s.Endpoints["s"][i].Version == "v1"
		}
		table.SetSnapshot(start, s)
		assert.Equal(t, table.Reserves(start)["s"] > 0, want, phase.String())
	}
}
