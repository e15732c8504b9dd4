package soak

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/test/harness"
)

// Sizes of a site, and the bounds that its nodes must keep. The bounds are those of the users' deployments, except for the
// retry allowance, which is smaller so that short runs reach it.
const (
	nodeCount   = 3
	engineCount = 4
	deskCount   = 3
	workerCount = engineCount + deskCount
	// eventCount is the number of events of a stream, eventInterval the time between two events. A long note outlasts the time
	// that a stopping node has left when it is no longer ready.
	eventCount     = 60
	longEventCount = 350
	eventInterval  = 20 * time.Millisecond
	// coldRate is the request rate that a cold engine can handle, in requests per second; coldTime is how long an engine stays
	// cold.
	coldRate = 2.0
	coldTime = 2 * time.Second

	grace = 8 * time.Second
	// lateAfter is the time after SIGTERM up to which a request may be accepted whose answer outlasts the grace period.
	lateAfter     = 3 * time.Second
	revokeBound   = 5 * time.Second
	applyBound    = 2 * time.Second
	leavingBound  = 2 * time.Second
	evacuateBound = 5 * time.Second
	recoveryTime  = 3 * time.Second
	overlapBound  = 400 * time.Millisecond
	abandonBound  = 500 * time.Millisecond
	// pauseTime is the pause that a refusing worker asks for. A node may send it at most pauseRequests requests between pauseGrace
	// after the refusal and the end of the pause.
	pauseTime     = 1500 * time.Millisecond
	pauseGrace    = 500 * time.Millisecond
	pauseRequests = 2
	// The desk in limitedSlot names a limit of namedLimit requests a second. From limitContact after that it may get limitFactor times
	// as many in each limitWindow, and limitAllowance, from the nodes that have passed on such an answer limitNotice before.
	limitedSlot    = workerCount - 1
	namedLimit     = 1.0
	limitContact   = 4 * time.Second
	limitWindow    = 4 * time.Second
	limitNotice    = 500 * time.Millisecond
	limitFactor    = 1.5
	limitAllowance = 5
	minCutDuration = 200 * time.Millisecond
	retryRatio     = 0.2
	retryAllowance = 12.0
	retryWindow    = 10 * time.Second
	coldOverage    = 1.5
	coldSlack      = 5.0
)

// dataCentres holds the names of the site's data centres.
var dataCentres = []string{"zone-1", "zone-2", "zone-3"}

// newSite returns a site whose nodes are not started yet.
func newSite(t testing.TB, rollouts bool) *harness.EdgeSite {
	return harness.NewEdgeSite(t, nodeCount, func(e *settings.Edge) {
		if rollouts {
			harness.EnableRollouts(e)
		}
		e.Stop.Grace, e.Bounds.Revoke = grace, revokeBound
		e.Bounds.RetryRatio, e.Bounds.RetryAllowance, e.Bounds.RetryWindow = retryRatio, retryAllowance, retryWindow
		e.Bounds.ColdOverage, e.Bounds.ColdSlack = coldOverage, coldSlack
	})
}

// addWorker starts a worker of a version in a slot. Its name consists of the slot and the number of the worker in that slot.
func addWorker(s *harness.EdgeSite, slot, number int, version string, cold bool, change ...func(*workers.Worker)) *workers.Worker {
	engine, name := slot < engineCount, "desk"
	if engine {
		name = "engine"
	}
	return s.AddWorkerWith(fmt.Sprintf("%s-%d-%d", name, slot, number), engine, func(w *workers.Worker) {
		w.RetryAfter = strconv.FormatFloat(pauseTime.Seconds(), 'f', -1, 64)
		w.IgnoresClose, w.Version = ignoresClose, version
		w.EventsOf, w.Interval, w.Zone = eventsOf, eventInterval, dataCentres[slot%len(dataCentres)]
		if slot == limitedSlot {
			w.RateLimit = strconv.FormatFloat(namedLimit, 'f', -1, 64)
		}
		if cold && engine {
			w.ColdFor = coldTime
		}
		for _, c := range change {
			c(w)
		}
	})
}

// makeDeskDirect lets nodes reach a desk without a link. Faults of its link have no effect.
func makeDeskDirect(w *workers.Worker) { w.Direct = !w.Engine }

// ignoresClose reports whether an engine does not notice that the connection of a run was closed. Callers never leave the runs of
// which that holds, since the work of callers who have left must stop as a rule.
func ignoresClose(path string) bool { return isLong(path) }

// eventsOf returns the number of events of the stream for a path.
func eventsOf(path string) int {
	if isLong(path) {
		return longEventCount
	}
	return eventCount
}

// isLong reports whether a path is that of a long note.
func isLong(path string) bool { return strings.HasPrefix(path, "/"+routeNote+longSegment) }
