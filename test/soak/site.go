package soak

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/test/harness"
)

// Sizes of a site, and the bounds that its nodes must keep. The bounds are those of the users' deployments, except for the grace
// period and the retry allowance, which are smaller so that short runs reach them.
const (
	nodeCount   = 3
	engineCount = 4
	deskCount   = 3
	workerCount = engineCount + deskCount
	// eventCount is the number of events of a stream, eventInterval the time between two events.
	eventCount    = 60
	eventInterval = 20 * time.Millisecond
	// coldRate is the request rate that a cold engine can handle, in requests per second; coldTime is how long an engine stays
	// cold.
	coldRate = 2.0
	coldTime = 2 * time.Second

	grace         = 4 * time.Second
	revokeBound   = 5 * time.Second
	applyBound    = 2 * time.Second
	leavingBound  = 2 * time.Second
	evacuateBound = 5 * time.Second
	recoveryTime  = 3 * time.Second
	overlapBound  = 400 * time.Millisecond
	abandonBound  = 500 * time.Millisecond
	// pauseTime is the pause that a refusing worker asks for. A node may send it at most pauseRequests requests between pauseGrace
	// after the refusal and the end of the pause.
	pauseTime      = 1500 * time.Millisecond
	pauseGrace     = 500 * time.Millisecond
	pauseRequests  = 2
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
func newSite(t testing.TB) *harness.EdgeSite {
	return harness.NewEdgeSite(t, nodeCount, func(e *settings.Edge) {
		e.Stop.Grace, e.Bounds.Revoke = grace, revokeBound
		e.Bounds.RetryRatio, e.Bounds.RetryAllowance, e.Bounds.RetryWindow = retryRatio, retryAllowance, retryWindow
		e.Bounds.ColdOverage, e.Bounds.ColdSlack = coldOverage, coldSlack
	})
}

// addWorker starts a worker in a slot. Its name consists of the slot and the number of the worker in that slot.
func addWorker(s *harness.EdgeSite, slot, number int, cold bool) *workers.Worker {
	engine, name := slot < engineCount, "desk"
	if engine {
		name = "engine"
	}
	return s.AddWorkerWith(fmt.Sprintf("%s-%d-%d", name, slot, number), engine, func(w *workers.Worker) {
		w.RetryAfter = strconv.FormatFloat(pauseTime.Seconds(), 'f', -1, 64)
		w.Events, w.Interval, w.Zone = eventCount, eventInterval, dataCentres[slot%len(dataCentres)]
		if cold && engine {
			w.ColdFor = coldTime
		}
	})
}
