package limit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against more requests to an endpoint than it takes from all nodes together, whatever the rate, the number of nodes, their
// demand, cuts and restarts of owners; and against limits of which most is left unused.
func TestSimulatedFleetKeepsTheRateOfAnEndpoint(t *testing.T) {
	for name, c := range map[string]rateSimulation{
		"few nodes":            {nodes: 3, rate: 12.4, demand: 3},
		"many nodes":           {nodes: 87, rate: 12.4, demand: 3},
		"one request a second": {nodes: 87, rate: 1, demand: 20},
		"less than one":        {nodes: 20, rate: 0.4, demand: 20},
		"no requests":          {nodes: 20, rate: 0, demand: 20},
		"demand at the rate":   {nodes: 8, rate: 1, demand: 1},
		"high rate":            {nodes: 300, rate: 400, demand: 2},
		"uneven demand":        {nodes: 87, rate: 12.4, demand: 2, uneven: true},
		"changing rate":        {nodes: 40, rate: 20, demand: 3, rateChanges: true},
		"cut off nodes":        {nodes: 40, rate: 12.4, demand: 3, cutOff: 0.4},
		"restarting owners":    {nodes: 40, rate: 12.4, demand: 3, ownerRestarts: true},
		"runs that continue":   {nodes: 40, rate: 12.4, demand: 2, continued: 0.5},
		"all at once":          {nodes: 87, rate: 12.4, demand: 3, uneven: true, cutOff: 0.3, ownerRestarts: true, rateChanges: true, continued: 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				result := c.run(seed)
				assert.Assert(t, result.worst <= 0, "seed %d: %.1f requests over the bound in 4 s", seed, result.worst)
				if c.rate >= 1 && c.demand > 1 && !c.rateChanges && !c.ownerRestarts {
					assert.Assert(t, result.used >= 0.75, "seed %d: %.2f of the rate is used", seed, result.used)
				}
			}
		})
	}
}

// Guards against nodes that keep asking for a request that is not granted, and against nodes that wait for an endpoint long after it has
// raised its limit.
func TestRefusedNodesAreToldToSpreadTheirAsks(t *testing.T) {
	now := time.Unix(100, 0)
	b := NewEndpointBudget(now)
	for i := range 100 {
		last := b.Take(now, fmt.Sprint("node-", i), Ask{Rate: 2})
		assert.Assert(t, !last.Granted)
		assert.Assert(t, last.RetryAfter >= minRefusalTime && last.RetryAfter <= maxRefusalTime)
		now = now.Add(time.Millisecond)
	}
	assert.Equal(t, b.Take(now, "node-1", Ask{Rate: 2}).RetryAfter, maxRefusalTime)
}

// Guards against a limit that holds on although the endpoint has raised it, and against one that a node with an old answer raises.
func TestLowestStatedRateHoldsForAWhile(t *testing.T) {
	now := time.Unix(100, 0)
	b := NewEndpointBudget(now)
	b.Take(now, "a", Ask{Rate: 5})
	b.Take(now.Add(rateHold/2), "b", Ask{Rate: 50})
	assert.Equal(t, b.rate, 5.0)
	b.Take(now.Add(rateHold+1), "b", Ask{Rate: 50})
	assert.Equal(t, b.rate, 50.0)
	b.Take(now.Add(rateHold+2), "b", Ask{Rate: 3})
	assert.Equal(t, b.rate, 3.0)
}
