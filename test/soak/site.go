package soak

import (
	"fmt"
	"testing"
	"time"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/test/harness"
)

// Sizes of a site, and the bounds that hold on it. The bounds are those of the users' deployments; the grace and the allowance
// are smaller, so that short runs reach them.
const (
	nodeCount   = 3
	engineCount = 4
	deskCount   = 3
	workerCount = engineCount + deskCount
	// eventCount is the length of a stream, eventInterval the time between two events.
	eventCount    = 60
	eventInterval = 20 * time.Millisecond
	// coldRate is the number of requests a second that a cold engine bears, coldFor how long it is cold.
	coldRate = 2.0
	coldFor  = 2 * time.Second

	grace          = 4 * time.Second
	revokeBound    = 5 * time.Second
	applyBound     = 2 * time.Second
	leavingBound   = 2 * time.Second
	evacuateBound  = 5 * time.Second
	contactTime    = 3 * time.Second
	overlapBound   = 400 * time.Millisecond
	goneBound      = 500 * time.Millisecond
	lossSlack      = 200 * time.Millisecond
	retryRatio     = 0.2
	retryAllowance = 12.0
	retryWindow    = 10 * time.Second
	coldOverage    = 1.5
	coldSlack      = 5.0
)

// dataCentres are those of the site.
var dataCentres = []string{"zone-1", "zone-2", "zone-3"}

// newSite returns a site whose nodes have not started.
func newSite(t testing.TB) *harness.EdgeSite {
	return harness.NewEdgeSite(t, nodeCount, func(e *settings.Edge) {
		e.Stop.Grace, e.Bounds.Revoke = grace, revokeBound
		e.Bounds.RetryRatio, e.Bounds.RetryAllowance, e.Bounds.RetryWindow = retryRatio, retryAllowance, retryWindow
		e.Bounds.ColdOverage, e.Bounds.ColdSlack = coldOverage, coldSlack
	})
}

// addWorker starts the worker of a place. Each that comes to a place has a name of its own.
func addWorker(s *harness.EdgeSite, place, number int, cold bool) *workers.Worker {
	engine, name := place < engineCount, "desk"
	if engine {
		name = "engine"
	}
	return s.AddWorkerWith(fmt.Sprintf("%s-%d-%d", name, place, number), engine, func(w *workers.Worker) {
		w.Events, w.Interval, w.Zone = eventCount, eventInterval, dataCentres[place%len(dataCentres)]
		if cold && engine {
			w.ColdFor = coldFor
		}
	})
}
