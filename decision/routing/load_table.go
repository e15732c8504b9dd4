package routing

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/rendezvous"
)

const (
	// pressureHalfLife is the time in which the recorded pressure of a cell decays by half, so that a cell that was
	// busy is tried again.
	pressureHalfLife = 2 * time.Second
	// failurePressure is the pressure of a cell that did not answer. It is the upper bound of all pressures.
	failurePressure = 2
	// queueScale is the queue length at which a pressure is halfway between 1 (no queue) and 2 (infinite queue).
	queueScale = 16
	// affinityMargin is the maximum extra cost at which the cell preferred for a prefix is still chosen.
	affinityMargin = 0.3
	// maxCells is the number of cells at which entries older than cellRetention are removed.
	maxCells      = 1024
	cellRetention = time.Minute
)

// LoadTable records the load of the cells. It is not safe for concurrent use; a single task owns it.
type LoadTable struct {
	random *rand.Rand
	cells  map[string]*cellLoad
}

// cellLoad is the last summary or failure of one cell.
type cellLoad struct {
	summary    message.CellSummary
	recordedAt time.Time
	failed     bool
	// requests counts the requests sent to the cell since recordedAt.
	requests int
}

// NewLoadTable returns an empty LoadTable.
func NewLoadTable(random *rand.Rand) *LoadTable {
	return &LoadTable{random: random, cells: map[string]*cellLoad{}}
}

// RecordSummary records the newest summary of a cell.
func (t *LoadTable) RecordSummary(now time.Time, cell string, s message.CellSummary) {
	*t.load(now, cell) = cellLoad{summary: s, recordedAt: now}
}

// RecordFailure records that a cell could not be reached.
func (t *LoadTable) RecordFailure(now time.Time, cell string) {
	*t.load(now, cell) = cellLoad{recordedAt: now, failed: true}
}

// RecordRequest records that a request was sent to a cell.
func (t *LoadTable) RecordRequest(now time.Time, cell string) { t.load(now, cell).requests++ }

func (t *LoadTable) load(now time.Time, cell string) *cellLoad {
	if l, ok := t.cells[cell]; ok {
		return l
	}
	if len(t.cells) >= maxCells {
		maps.DeleteFunc(t.cells, func(_ string, l *cellLoad) bool { return now.Sub(l.recordedAt) > cellRetention })
	}
	l := &cellLoad{recordedAt: now}
	t.cells[cell] = l
	return l
}

// Pressure returns the estimated pressure of a cell, from 0 (free or unknown) to 2 (unreachable). Above 1, requests are
// expected to wait.
func (t *LoadTable) Pressure(now time.Time, cell string) float64 {
	l, ok := t.cells[cell]
	if !ok {
		return 0
	}
	p := float64(failurePressure)
	if !l.failed {
		p = l.pressure()
	}
	return p * math.Exp2(-float64(now.Sub(l.recordedAt))/float64(pressureHalfLife))
}

// pressure returns the undecayed pressure of a cell: its load while it has room for another request, otherwise a value
// from 1 to 2 that rises with its queue.
func (l *cellLoad) pressure() float64 {
	s := l.summary
	if room := s.Free - l.requests; room > 0 && s.Queued == 0 {
		return s.Load + (1-s.Load)*float64(l.requests)/float64(s.Free)
	}
	waiting := float64(s.Queued + max(0, l.requests-s.Free))
	return 1 + waiting/(waiting+queueScale)
}

// Pick returns the index of the candidate for a request; candidates must not be empty. It compares two random
// candidates, and prefers the cell of the prefix unless its cost is higher by more than affinityMargin. A prefix of 0
// means none.
func (t *LoadTable) Pick(now time.Time, candidates []Candidate, prefix uint64) int {
	cost := func(i int) float64 {
		return t.Pressure(now, candidates[i].Cell) + candidates[i].penalty()
	}
	best := t.sample(candidates, -1)
	if len(candidates) > 1 {
		if other := t.sample(candidates, best); cost(other) < cost(best) {
			best = other
		}
	}
	if prefix != 0 {
		if i := preferredByPrefix(candidates, prefix); cost(i) <= cost(best)+affinityMargin {
			return i
		}
	}
	return best
}

// sample returns the index of a random candidate other than except, weighted by distance.
func (t *LoadTable) sample(candidates []Candidate, except int) int {
	total := 0.0
	for i, c := range candidates {
		if i != except {
			total += c.weight()
		}
	}
	at := t.random.Float64() * total
	last := 0
	for i, c := range candidates {
		if i == except {
			continue
		}
		last = i
		if at -= c.weight(); at < 0 {
			break
		}
	}
	return last
}

// preferredByPrefix returns the index of the candidate with the highest rendezvous hash in this region, or of all
// candidates if the region has none. All nodes of a region therefore prefer the same cell for a prefix.
func preferredByPrefix(candidates []Candidate, prefix uint64) int {
	key := strconv.FormatUint(prefix, 16)
	indices := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if c.Distance <= SameRegion {
			indices = append(indices, i)
		}
	}
	if len(indices) == 0 {
		for i := range candidates {
			indices = append(indices, i)
		}
	}
	return slices.MaxFunc(indices, func(x, y int) int {
		return cmp.Or(
			cmp.Compare(rendezvous.Score(key, candidates[x].Cell), rendezvous.Score(key, candidates[y].Cell)),
			cmp.Compare(candidates[x].Cell, candidates[y].Cell))
	})
}
