package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// quietStart is the time before the first fault.
	quietStart = 500 * time.Millisecond
	// meanGap is the mean pause between two series of faults.
	meanGap = 900 * time.Millisecond
	// maxSeries is the most faults that begin within seriesSpan.
	maxSeries  = 4
	seriesSpan = 600 * time.Millisecond
	// minFault and maxFault bound the time that a fault lasts; the store's outages may be longer than a key may be served
	// without the store.
	minFault = 100 * time.Millisecond
	maxFault = 3 * time.Second
	maxStore = 6 * time.Second
	// minOut is above the time within which a data centre that is out gets no new work.
	minOut = evacuateBound + time.Second
)

// weights says how often each kind is drawn. Signals and changes are frequent, so that they come in series.
var weights = []weighted[faultKind]{
	{nodePause, 4},
	{nodeKill, 4},
	{nodeTerm, 6},
	{nodeHangup, 4},
	{allKill, 1},
	{storeLinkStall, 4},
	{storeLinkCut, 3},
	{storeLinkDelay, 2},
	{storeLinkOneWay, 3},
	{peerLinkStall, 4},
	{peerLinkCut, 3},
	{callerLinkReset, 2},
	{callerLinkDelay, 1},
	{storeRefuse, 2},
	{storeLose, 2},
	{storeSlow, 2},
	{storeForget, 2},
	{workerLinkStall, 3},
	{workerLinkOneWay, 3},
	{workerLinkReset, 4},
	{workerLinkDelay, 2},
	{workerBehave, 6},
	{workerCrash, 4},
	{workerLeave, 8},
	{revoke, 6},
	{routeAdd, 5},
	{routeDrop, 4},
	{evacuate, 2},
}

// plan is what happens in one run.
type plan struct {
	seed   uint64
	length time.Duration
	faults []fault
}

// newPlan draws a plan. Faults of one link do not overlap, since the end of one would heal the other; signals do.
func newPlan(seed uint64, length time.Duration) plan {
	random := rand.New(rand.NewPCG(seed, 0))
	p := plan{seed: seed, length: length}
	busy := map[string]time.Duration{}
	for at := quietStart; at < length; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
		for range 1 + random.IntN(maxSeries) {
			f := draw(random)
			f.at = at + time.Duration(random.Int64N(int64(seriesSpan)))
			f.length = min(f.length, length-f.at)
			link := f.link()
			if f.length <= 0 || link != "" && f.at < busy[link] {
				continue
			}
			if link != "" {
				busy[link] = f.at + f.length
			}
			p.faults = append(p.faults, f)
		}
	}
	slices.SortStableFunc(p.faults, func(a, b fault) int { return int(a.at - b.at) })
	return p
}

// draw returns a fault without its time.
func draw(random *rand.Rand) fault {
	f := fault{kind: pick(random, weights), variant: random.IntN(1 << 16), target: random.IntN(1 << 16)}
	longest := maxFault
	if f.kind.scope() == onStore || strings.HasPrefix(string(f.kind), "store link") {
		longest = maxStore
	}
	f.length = minFault + time.Duration(random.Int64N(int64(longest-minFault)))
	if f.kind == evacuate {
		f.length += minOut
	}
	switch f.kind.scope() {
	case onNode:
		f.target %= nodeCount
	case onWorker:
		f.target %= workerCount
	case onConfiguration:
		f.target %= len(dataCentres)
	default:
		f.target = 0
	}
	return f
}

// link names what the fault has to itself while it lasts; empty when nothing.
func (f fault) link() string {
	switch f.kind.scope() {
	case onStore:
		return "store"
	case onWorker:
		return fmt.Sprint("worker ", f.target)
	}
	switch f.kind {
	case storeLinkStall, storeLinkCut, storeLinkDelay, storeLinkOneWay:
		return fmt.Sprint("store link ", f.target)
	case peerLinkStall, peerLinkCut:
		return fmt.Sprint("peer link ", f.target)
	case callerLinkReset, callerLinkDelay:
		return fmt.Sprint("caller link ", f.target)
	case evacuate:
		return "evacuation"
	default:
		return ""
	}
}

// String lists the faults.
func (p plan) String() string {
	lines := make([]string, len(p.faults))
	for i, f := range p.faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
