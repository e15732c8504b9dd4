package gather

import (
	"maps"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// Sums is the state of a relay. It belongs to one task.
type Sums struct {
	// reports holds the loads of the nodes of the own data centre, by node; others those of other data centres.
	reports map[string]report
	others  map[string]report
}

// report is what one sender has in flight.
type report struct {
	loads []dispatch.Load
	at    time.Time
}

// NewSums returns sums of nothing.
func NewSums() *Sums { return &Sums{reports: map[string]report{}, others: map[string]report{}} }

// Report takes the loads of a node of the own data centre.
func (s *Sums) Report(now time.Time, node string, loads []dispatch.Load) {
	s.reports[node] = report{loads, now}
}

// DataCentre takes the sum of another data centre.
func (s *Sums) DataCentre(now time.Time, name string, loads []dispatch.Load) {
	s.others[name] = report{loads, now}
}

// Own returns the sum of the own data centre.
func (s *Sums) Own(now time.Time) []dispatch.Load { return s.sum(now, s.reports, "") }

// Others returns the sum of everything but one node.
func (s *Sums) Others(now time.Time, node string) []dispatch.Load {
	return add(s.sum(now, s.reports, node), s.sum(now, s.others, ""))
}

// sum adds up the reports that still count, without one sender's.
func (s *Sums) sum(now time.Time, reports map[string]report, without string) []dispatch.Load {
	maps.DeleteFunc(reports, func(_ string, r report) bool { return now.Sub(r.at) > silence })
	var lists [][]dispatch.Load
	for sender, r := range reports {
		if sender != without {
			lists = append(lists, r.loads)
		}
	}
	return add(lists...)
}

// add returns the loads by endpoint, sorted.
func add(lists ...[]dispatch.Load) []dispatch.Load {
	total := map[string]dispatch.Load{}
	for _, list := range lists {
		for _, l := range list {
			t := total[l.Endpoint]
			t.Endpoint = l.Endpoint
			t.InFlight += l.InFlight
			t.Tokens += l.Tokens
			t.Prefill += l.Prefill
			total[l.Endpoint] = t
		}
	}
	var sum []dispatch.Load
	for _, id := range slices.Sorted(maps.Keys(total)) {
		sum = append(sum, total[id])
	}
	return sum
}
