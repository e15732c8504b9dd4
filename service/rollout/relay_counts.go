package rollout

import (
	"slices"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// relayCounts sums the newest counts of each process of a data centre. Counts of processes that have ended stay in the sums.
type relayCounts struct {
	reports map[string]Report
	// ended holds the counts of earlier processes by roll-out, and endedEpochs these processes.
	ended       map[rolloutKey]rollout.Tally
	endedEpochs map[uint64]bool
}

// maxEndedEpochs bounds the ended processes that are remembered, so that a late report of one is not added again.
const maxEndedEpochs = 4096

func newRelayCounts() *relayCounts {
	return &relayCounts{reports: map[string]Report{}, ended: map[rolloutKey]rollout.Tally{}, endedEpochs: map[uint64]bool{}}
}

// apply replaces the counts of a process. A report of a new process of the node ends the earlier one.
func (c *relayCounts) apply(r Report) {
	known, ok := c.reports[r.Node]
	switch {
	case c.endedEpochs[r.Epoch] || ok && known.Epoch == r.Epoch && known.Sequence >= r.Sequence:
		return
	case ok && known.Epoch != r.Epoch:
		for _, s := range known.Services {
			key := rolloutKey{s.Service, s.Revision}
			total := c.ended[key]
			total.Add(s.Tally)
			c.ended[key] = total
		}
		if len(c.endedEpochs) >= maxEndedEpochs {
			clear(c.endedEpochs)
		}
		c.endedEpochs[known.Epoch] = true
	}
	c.reports[r.Node] = r
}

// keep drops the counts of all roll-outs but the given ones.
func (c *relayCounts) keep(open []rolloutKey) {
	for key := range c.ended {
		if !slices.Contains(open, key) {
			delete(c.ended, key)
		}
	}
	if len(open) == 0 {
		clear(c.reports)
		clear(c.endedEpochs)
	}
}

// sum returns the counts of a roll-out. Only listed nodes count as confirmed.
func (c *relayCounts) sum(key rolloutKey, listed []string) ServiceSum {
	total := ServiceSum{Service: key.service, Revision: key.revision}
	total.Tally.Add(c.ended[key])
	for node, r := range c.reports {
		for i := range r.Services {
			s := &r.Services[i]
			if s.Service != key.service || s.Revision != key.revision {
				continue
			}
			total.Tally.Add(s.Tally)
			total.AgeMillis = max(total.AgeMillis, s.AgeMillis)
			if s.confirms() && slices.Contains(listed, node) {
				total.Confirmed++
			}
		}
	}
	return total
}
