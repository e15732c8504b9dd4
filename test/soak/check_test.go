package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/workers"
)

// historyStart is the start time of the test histories.
var historyStart = time.Unix(1000, 0)

// after returns the time s seconds after historyStart.
func after(s float64) time.Time { return historyStart.Add(time.Duration(s * float64(time.Second))) }

// goodHistory returns a history without a breach: one note and one booking, both sent to node 0 after 10 s.
func goodHistory() *history {
	h := &history{
		operatorState: operatorState{
			keys: []string{"k"}, revoked: map[string]time.Time{}, addedAt: map[string]time.Time{}, droppedAt: map[string]time.Time{},
		},
		processRuns: []processRun{{node: 0, started: historyStart}},
		logs:        []string{"", "", ""},
		coldUntil:   map[string]time.Time{},
	}
	note := attempt{
		id: "n", route: routeNote, path: "/note/1", key: "k", sentAt: after(10), endedAt: after(12), status: 200, hasSignature: true, echoesID: true,
	}
	for i := range eventCount {
		note.events = append(note.events, event{fmt.Sprint(i + 1), "1 of n"})
	}
	booking := attempt{
		id: "b", route: routeBooking, path: "/booking/1", key: "k", sentAt: after(10), endedAt: after(11), status: 200, hasSignature: true,
		echoesID: true, body: "POST /booking/1 by desk-4-1",
	}
	h.attempts = []attempt{note, booking}
	h.addRun("engine-0-1", "engines", &h.attempts[0], 10, 12)
	h.addRun("desk-4-1", "desk", &h.attempts[1], 10, 11)
	return h
}

// addRun records that a request ran at a worker between two times, in seconds after historyStart.
func (h *history) addRun(worker, service string, a *attempt, from, to float64) {
	h.workers.Arrivals = append(h.workers.Arrivals, workers.Arrival{Worker: worker, Service: service, Request: a.id, At: after(from)})
	h.workers.Runs = append(h.workers.Runs, workers.Run{
		Worker: worker, Service: service, Request: a.id, Path: a.path, Workspace: "w", Began: after(from), Ended: true, EndedAt: after(to),
	})
}

// addRollout records a roll-out of a service, ordered after 5 s, with arrivals at its target over some seconds.
func (h *history) addRollout(isBad bool, target int, span float64) *rolloutRecord {
	h.rollout = &rolloutRecord{rolloutPlan: rolloutPlan{service: "s", isBad: isBad}, ordered: after(5), states: []string{"in_progress"}}
	if isBad {
		h.rollout.badFrom = after(5)
	}
	for i := range target {
		h.addArrival(fmt.Sprint("target ", i), targetVersion, 5+span*float64(i)/float64(target))
	}
	return h.rollout
}

// addArrival records that a request of a service under a roll-out reached a worker of a version.
func (h *history) addArrival(id, version string, at float64) {
	h.workers.Arrivals = append(h.workers.Arrivals, workers.Arrival{Worker: "s-1", Service: "s", Version: version, Request: id, At: after(at)})
}

// Guards against checks that report breaches in a correct history.
func TestChecksPassAGoodHistory(t *testing.T) {
	assert.DeepEqual(t, findBreaches(goodHistory(), true), []string(nil))
}

// Guards against a check that looks at answers with a success status only.
func TestInvalidStatusIsAWrongAnswer(t *testing.T) {
	h := goodHistory()
	assert.Equal(t, len(findWrongAnswers(h)), 0)
	h.attempts[1].status = 600
	assert.Equal(t, len(findWrongAnswers(h)), 1)
}

// Guards against checks that miss a breach, or that report breaches of another promise.
func TestChecksFindPlantedFaults(t *testing.T) {
	for name, corrupt := range map[string]func(h *history){
		"answers are whole and belong to their requests": func(h *history) { h.attempts[0].events = h.attempts[0].events[:9] },
		"events come once and in order, from one generation": func(h *history) {
			h.attempts[0].events[5].data = "2 of n"
		},
		"requests that may run once do not run twice": func(h *history) { h.addRun("desk-5-1", "desk", &h.attempts[1], 11, 12) },
		"refusals are true":                           func(h *history) { h.attempts[1].status, h.attempts[1].hasSignature = 503, true },
		"endpoints run only what callers sent":        func(h *history) { h.workers.Runs[1].Path = "/booking/2" },
		"revoked keys are not served": func(h *history) {
			h.operatorState.revoked["k"] = after(4.5)
			// The bound also applies to a node that cannot reach the store.
			h.injected = []injectedFault{{fault: fault{kind: storeLinkCut}, interval: interval{after(9), after(11)}}}
		},
		"a good key is never refused": func(h *history) { h.attempts[1].status, h.attempts[1].hasSignature = 401, false },
		"changes are in force in time": func(h *history) {
			h.attempts[1].route = "added-1"
			h.operatorState.droppedAt["added-1"] = after(7)
		},
		"leaving endpoints get no new work": func(h *history) {
			h.departures = []departure{{name: "desk-4-1", acknowledgedAt: after(7.9)}}
		},
		"endpoints that say they leave get no new work": func(h *history) {
			h.attempts = append(h.attempts, attempt{id: "l", route: routeLookup, path: "/lookup/1", key: "k", sentAt: after(7), endedAt: after(7.9), status: 200, hasSignature: true, echoesID: true, body: "GET /lookup/1 by desk-4-1"})
			h.addRun("desk-4-1", "desk", &h.attempts[2], 7, 7.9)
			h.workers.Arrivals[2].SaidLeaving = true
		},
		"endpoints that want a pause get it": func(h *history) {
			h.workers.Arrivals[0].AskedForPause = true
			for i := range 3 {
				h.workers.Arrivals = append(h.workers.Arrivals, workers.Arrival{Worker: "engine-0-1", Service: "engines", Request: "n", At: after(11 + 0.1*float64(i)), Continued: true})
			}
		},
		"endpoints get no more than the limit they name": func(h *history) {
			h.attempts = append(h.attempts, attempt{id: "l", route: routeLookup, path: "/lookup/1", key: "k", sentAt: after(2), endedAt: after(2.5), status: 200, hasSignature: true, echoesID: true, body: "GET /lookup/1 by desk-6-1"})
			h.addRun("desk-6-1", "desk", &h.attempts[2], 2, 2.5)
			h.workers.Arrivals[2].SaidLimit = true
			for n := range 12 {
				h.workers.Arrivals = append(h.workers.Arrivals, workers.Arrival{Worker: "desk-6-1", Service: "desk", Request: "b", At: after(10 + 0.3*float64(n)), Continued: true})
			}
		},
		"data centres that are out get no new work": func(h *history) {
			h.departures = []departure{{name: dataCentres[1], acknowledgedAt: after(4.9), isDataCentre: true}}
		},
		"repeats keep to the budget": func(h *history) {
			for range 20 {
				h.addRun("desk-5-1", "desk", &attempt{id: "r", route: routeLookup, path: "/lookup/1"}, 10, 11)
			}
			h.attempts = append(h.attempts, attempt{id: "r", route: routeLookup, path: "/lookup/1", key: "k", sentAt: after(10), endedAt: after(11)})
		},
		"cold endpoints bear what they get": func(h *history) {
			h.coldUntil["engine-0-1"] = after(20)
			for n := range 9 {
				h.attempts = append(h.attempts, attempt{id: fmt.Sprint("c", n), route: routeReply, path: "/reply/1", key: "k", err: "timeout", deadlineExceeded: true})
				h.addRun("engine-0-1", "engines", &h.attempts[len(h.attempts)-1], 15, 15.1)
			}
		},
		"planned work cuts no request": func(h *history) { h.attempts[0].err, h.attempts[0].events = "unexpected EOF", nil },
		"work stops when its caller has left": func(h *history) {
			for n := range 9 {
				h.attempts = append(h.attempts, attempt{
					id: fmt.Sprint("l", n), route: routeNote, path: "/note/1", key: "k", sentAt: after(10), endedAt: after(10.1), err: "left", abandoned: true,
				})
				h.addRun("engine-0-1", "engines", &h.attempts[len(h.attempts)-1], 10, 11)
			}
		},
		"a run goes on at one endpoint at a time": func(h *history) {
			h.addRun("engine-1-1", "engines", &h.attempts[0], 11, 12)
			h.workers.Runs[2].Continued = true
		},
		"processes end only when told to": func(h *history) { h.processRuns[0].ended, h.processRuns[0].err = after(5), "exit status 2" },
		"the logs explain each failure": func(h *history) {
			h.attempts[1].status, h.attempts[1].hasSignature = 502, false
		},
		"final states of roll-outs stay, and no failing version is completed": func(h *history) {
			h.addRollout(false, 0, 0).states = []string{"in_progress", stateReverted, "in_progress"}
		},
		"a failing version gets at most its exposure": func(h *history) { h.addRollout(true, 61, 4) },
		"a failing version gets nothing after its rollback": func(h *history) {
			h.addRollout(true, badAnswers, 0)
			h.addArrival("late", targetVersion, 5+rollbackBound.Seconds()+0.1)
		},
		"replaced versions get nothing": func(h *history) {
			r := h.addRollout(false, 0, 0)
			r.states, r.finalAt = []string{stateReverted}, after(8)
			h.addArrival("n", targetVersion, 10)
		},
		"every node serves again after the last fault": func(h *history) { h.unrecovered = []string{"node 0"} },
	} {
		t.Run(name, func(t *testing.T) {
			h := goodHistory()
			corrupt(h)
			for _, c := range checks {
				assert.Equal(t, len(c.find(h)) > 0, c.name == name, c.name)
			}
		})
	}
	assert.Equal(t, len(checks), 25)
}

// Guards against a check that excuses more requests cut at the end of a grace period than the rule does: those that were sent late,
// and those whose worker had ended its work before.
func TestCutAtGraceEndIsExcusedForEarlyRequestsAtWork(t *testing.T) {
	for name, test := range map[string]struct {
		sent, cut, workEnd float64
		excused            bool
	}{
		"sent before SIGTERM": {9, 17.6, 17.6, true},
		"sent early":          {12.9, 17.6, 17.6, true},
		"sent late":           {13.1, 17.6, 17.6, false},
		"cut too early":       {11, 16, 16, false},
		"work had ended":      {11, 17.6, 16, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := goodHistory()
			h.processRuns[0].terminatedAt, h.processRuns[0].ended = after(10), after(17.7)
			note := &h.attempts[0]
			note.sentAt, note.endedAt, note.err = after(test.sent), after(test.cut), "unexpected EOF"
			h.workers.Runs[0].Began, h.workers.Runs[0].EndedAt = after(test.sent), after(test.workEnd)
			assert.Equal(t, len(findCutRequests(h)) == 0, test.excused)
		})
	}
}

// Guards against a seed that gives different plans, and against overlapping faults on one link.
func TestPlansAreRepeatable(t *testing.T) {
	for seed := range uint64(20) {
		p := newPlan(seed, 10*time.Second, kindWeights)
		assert.Equal(t, p.String(), newPlan(seed, 10*time.Second, kindWeights).String())
		assert.Assert(t, len(p.faults) > 0)
		until := map[string]time.Duration{}
		for _, f := range p.faults {
			if link := f.exclusiveResource(); link != "" {
				assert.Assert(t, f.at >= until[link], p)
				until[link] = f.at + f.length
			}
		}
	}
}
