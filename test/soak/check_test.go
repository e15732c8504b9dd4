package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/workers"
)

// began is the start of the histories of these tests.
var began = time.Unix(1000, 0)

// after returns a moment of a history.
func after(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }

// goodHistory returns a history without a breach: one note and one booking at node 0, seconds after its start.
func goodHistory() *history {
	h := &history{
		operations: operations{
			keys: []string{"k"}, revoked: map[string]time.Time{}, addedAt: map[string]time.Time{}, droppedAt: map[string]time.Time{},
		},
		lives:     []life{{node: 0, started: began}},
		logs:      []string{"", "", ""},
		coldUntil: map[string]time.Time{},
	}
	note := attempt{
		id: "n", route: routeNote, path: "/note/1", key: "k", sentAt: after(10), endedAt: after(12), status: 200, signed: true, echoed: true,
	}
	for i := range eventCount {
		note.events = append(note.events, event{fmt.Sprint(i + 1), "1 of n"})
	}
	booking := attempt{
		id: "b", route: routeBooking, path: "/booking/1", key: "k", sentAt: after(10), endedAt: after(11), status: 200, signed: true,
		echoed: true, body: "POST /booking/1 by desk-4-1",
	}
	h.attempts = []attempt{note, booking}
	h.arrive("engine-0-1", "engines", &h.attempts[0], 10, 12)
	h.arrive("desk-4-1", "desk", &h.attempts[1], 10, 11)
	return h
}

// arrive lets a request run at a worker from one second to another.
func (h *history) arrive(worker, service string, a *attempt, from, to float64) {
	h.workers.Arrivals = append(h.workers.Arrivals, workers.Arrival{Worker: worker, Service: service, Request: a.id, At: after(from)})
	h.workers.Runs = append(h.workers.Runs, workers.Run{
		Worker: worker, Service: service, Request: a.id, Path: a.path, Workspace: "w", Began: after(from), Ended: true, EndedAt: after(to),
	})
}

// Guards against a checker that finds breaches where there are none.
func TestChecksPassAGoodHistory(t *testing.T) {
	assert.DeepEqual(t, breaches(goodHistory(), true), []string(nil))
}

// Guards against a checker that overlooks a breach.
func TestChecksFindPlantedFaults(t *testing.T) {
	for name, plant := range map[string]func(h *history){
		"answers are whole and belong to their requests": func(h *history) { h.attempts[0].events = h.attempts[0].events[:9] },
		"events come once and in order, from one generation": func(h *history) {
			h.attempts[0].events[5].data = "2 of n"
		},
		"requests that may run once do not run twice": func(h *history) { h.arrive("desk-5-1", "desk", &h.attempts[1], 11, 12) },
		"refusals are true":                           func(h *history) { h.attempts[1].status, h.attempts[1].signed = 503, true },
		"endpoints run only what callers sent":        func(h *history) { h.workers.Runs[1].Path = "/booking/2" },
		"revoked keys are not served": func(h *history) {
			h.operations.revoked["k"] = after(4.5)
			// The bound holds for nodes that are out of touch too.
			h.struck = []struck{{fault: fault{kind: storeLinkCut}, span: span{after(9), after(11)}}}
		},
		"a good key is never refused": func(h *history) { h.attempts[1].status, h.attempts[1].signed = 401, false },
		"changes are in force in time": func(h *history) {
			h.attempts[1].route = "added-1"
			h.operations.droppedAt["added-1"] = after(7)
		},
		"leaving endpoints get no new work": func(h *history) {
			h.left = []departed{{name: "desk-4-1", acked: after(7.9)}}
		},
		"data centres that are out get no new work": func(h *history) {
			h.left = []departed{{name: dataCentres[1], acked: after(4.9), dataCentre: true}}
		},
		"repeats keep to the budget": func(h *history) {
			for range 20 {
				h.arrive("desk-5-1", "desk", &attempt{id: "r", route: routeLookup, path: "/lookup/1"}, 10, 11)
			}
			h.attempts = append(h.attempts, attempt{id: "r", route: routeLookup, path: "/lookup/1", key: "k", sentAt: after(10), endedAt: after(11)})
		},
		"cold endpoints bear what they get": func(h *history) {
			h.coldUntil["engine-0-1"] = after(20)
			for n := range 9 {
				h.attempts = append(h.attempts, attempt{id: fmt.Sprint("c", n), route: routeReply, path: "/reply/1", key: "k", err: "timeout", overdue: true})
				h.arrive("engine-0-1", "engines", &h.attempts[len(h.attempts)-1], 15, 15.1)
			}
		},
		"planned work cuts no request": func(h *history) { h.attempts[0].err, h.attempts[0].events = "unexpected EOF", nil },
		"work stops when its caller has left": func(h *history) {
			for n := range 9 {
				h.attempts = append(h.attempts, attempt{
					id: fmt.Sprint("l", n), route: routeNote, path: "/note/1", key: "k", sentAt: after(10), endedAt: after(10.1), err: "left", left: true,
				})
				h.arrive("engine-0-1", "engines", &h.attempts[len(h.attempts)-1], 10, 11)
			}
		},
		"a run goes on at one endpoint at a time": func(h *history) {
			h.arrive("engine-1-1", "engines", &h.attempts[0], 11, 12)
			h.workers.Runs[2].Continued = true
		},
		"processes end only when told to": func(h *history) { h.lives[0].ended, h.lives[0].err = after(5), "exit status 2" },
		"the logs explain each failure": func(h *history) {
			h.attempts[1].status, h.attempts[1].signed = 502, false
		},
		"every node serves again after the last fault": func(h *history) { h.silent = []string{"node 0"} },
	} {
		t.Run(name, func(t *testing.T) {
			h := goodHistory()
			plant(h)
			for _, c := range checks {
				assert.Equal(t, len(c.find(h)) > 0, c.name == name, c.name)
			}
		})
	}
	assert.Equal(t, len(checks), 18)
}

// Guards against a plan that differs from one run to the next, and against faults of one link that overlap.
func TestPlansAreRepeatable(t *testing.T) {
	for seed := range uint64(20) {
		p := newPlan(seed, 10*time.Second)
		assert.Equal(t, p.String(), newPlan(seed, 10*time.Second).String())
		assert.Assert(t, len(p.faults) > 0)
		until := map[string]time.Duration{}
		for _, f := range p.faults {
			if link := f.link(); link != "" {
				assert.Assert(t, f.at >= until[link], p)
				until[link] = f.at + f.length
			}
		}
	}
}
