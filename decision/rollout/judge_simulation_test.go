package rollout

import (
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runsVariable is the environment variable with the number of runs of each case; seeds begin at 1.
const runsVariable = "ROLLOUT_RUNS"

const shortRuns = 3

// simulateRuns plays all runs of a case.
func simulateRuns(t *testing.T, c simulationCase) simulationResult {
	t.Helper()
	runs, err := strconv.Atoi(os.Getenv(runsVariable))
	if err != nil {
		runs = shortRuns
	}
	sum := simulationResult{}
	for seed := range runs {
		r := simulate(c, uint64(seed+1))
		if c.fault != noFault && r.completed > 0 {
			t.Logf("seed %d: a bad version was completed", seed+1)
		}
		sum.add(r)
	}
	t.Log(t.Name(), sum.String())
	if os.Getenv("ROLLOUT_REASONS") != "" {
		for r, n := range sum.reasons {
			t.Log(n, r)
		}
	}
	return sum
}

func simulatedServices() []simulatedService {
	return []simulatedService{streamed, plain, repeatable, fewPlain}
}

// Guards against a good version that is reverted, although no endpoint or host has a fault or the faults are not those of the version.
func TestGoodVersionsComplete(t *testing.T) {
	for _, service := range simulatedServices() {
		for name, d := range map[string]disturbance{
			"calm": calm, "common fault": commonFault, "killed old": killedOld, "killed target": killedTarget, "killed canary": killedCanary,
			"flapping": flapping, "lying health": lyingHealth, "cold target": coldTarget, "hidden cold": hiddenCold,
			"new decider": newDecider,
		} {
			t.Run(service.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				r := simulateRuns(t, simulationCase{service: service, disturbance: d})
				assert.Equal(t, r.open, 0)
				if d == calm {
					assert.Assert(t, r.completed*100 >= 95*r.runs, r.String())
				}
			})
		}
	}
}

// Guards against bad versions that are completed, get more requests than permitted, or get requests after the rollback time.
func TestBadVersionsAreReverted(t *testing.T) {
	second := time.Second
	for _, service := range simulatedServices() {
		for _, c := range []simulationCase{
			{name: "fails at once", fault: failing},
			{name: "fails later", fault: failing, from: second, to: 6 * second},
			{name: "fails at the hand-over", fault: failing, from: 6 * second, to: 9 * second},
			{name: "fails under load", fault: failing, underLoad: true},
			{name: "fails on one route", fault: failing, oneRoute: true},
			{name: "slow at once", fault: slow},
			{name: "slow later", fault: slow, from: second, to: 6 * second},
			{name: "slow at the hand-over", fault: slow, from: 6 * second, to: 9 * second},
			{name: "slow under load", fault: slow, underLoad: true},
			{name: "slow on one route", fault: slow, oneRoute: true},
		} {
			c.service = service
			t.Run(service.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				r := simulateRuns(t, c)
				assert.Equal(t, r.open, 0)
				assert.Equal(t, r.completed, 0)
				assert.Equal(t, r.sentLate, 0)
				if c.showsEarly() {
					assert.Equal(t, r.overExposed, 0)
				}
			})
		}
	}
}
