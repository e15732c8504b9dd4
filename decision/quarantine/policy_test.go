package quarantine

import (
	"flag"
	"testing"

	"gotest.tools/v3/assert"
)

var simulationSeeds = flag.Int("quarantine.seeds", 2, "number of seeds for each case of the simulation")

// simulateSeeds plays all seeds of a case and returns the worst value of each count, and the sums of the sound requests.
func simulateSeeds(o simulationOptions) (worst, sum simulationResult) {
	for seed := range *simulationSeeds {
		o.seed = uint64(seed)
		r := simulate(o)
		worst.enginesLost = max(worst.enginesLost, r.enginesLost)
		worst.sentLate = max(worst.sentLate, r.sentLate)
		worst.sound, worst.soundRefused = max(worst.sound, r.sound), max(worst.soundRefused, r.soundRefused)
		worst.soundQuarantined = max(worst.soundQuarantined, r.soundQuarantined)
		sum.enginesLost += r.enginesLost
		sum.sentLate += r.sentLate
		sum.sound += r.sound
		sum.soundRefused += r.soundRefused
		sum.soundQuarantined += r.soundQuarantined
	}
	return worst, sum
}

// Guards against a quarantine that lets a deadly part reach endpoints after the users' limit of five crashes, or that refuses
// sound requests that share other parts with it.
func TestDeadlyPartIsStoppedAndSoundRequestsAreServed(t *testing.T) {
	for name, o := range map[string]simulationOptions{
		"8 nodes":                 {nodes: 8, engines: 9, rate: 4, deadlyShare: 0.15},
		"8 nodes, mostly deadly":  {nodes: 8, engines: 9, rate: 4, deadlyShare: 0.6},
		"72 nodes":                {nodes: 72, engines: 71, rate: 40, deadlyShare: 0.15},
		"72 nodes, marks lost":    {nodes: 72, engines: 71, rate: 40, deadlyShare: 0.15, markLoss: 0.3},
		"72 nodes, and power cut": {nodes: 72, engines: 71, rate: 40, deadlyShare: 0.05, powerCut: 20},
	} {
		t.Run(name, func(t *testing.T) {
			o.policy = partsPolicy
			worst, sum := simulateSeeds(o)
			t.Logf("worst: %v; sum of %d seeds: %v", worst, *simulationSeeds, sum)
			assert.Assert(t, worst.sentLate <= 3, "the users' limit after the fifth crash")
			assert.Assert(t, sum.soundRefused*2 < sum.sound, "the users' limit for sound requests")
			for _, other := range []simulatedPolicy{noPolicy, wholePromptPolicy} {
				o.policy = other
				_, baseline := simulateSeeds(o)
				t.Logf("%s: sum %v", other, baseline)
				assert.Assert(t, sum.enginesLost < baseline.enginesLost)
			}
		})
	}
}

// Guards against a power cut that puts sound requests into quarantine.
func TestPowerCutQuarantinesNothing(t *testing.T) {
	_, sum := simulateSeeds(simulationOptions{nodes: 72, engines: 71, rate: 40, powerCut: 20, policy: partsPolicy})
	t.Logf("%v", sum)
	assert.Equal(t, sum.soundQuarantined, 0)
}
