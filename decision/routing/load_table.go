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
	// halfLife is the time in which what is known of a cell loses half of its weight, so that a cell that was busy is
	// asked again.
	halfLife = 2 * time.Second
	// failurePressure is the pressure of a cell that did not answer; it is the highest there is.
	failurePressure = 2
	// queueScale is the length of a queue that counts half as much as an endless one.
	queueScale = 16
	// affinityMargin is how much busier the cell that a prefix prefers may be than the other choice.
	affinityMargin = 0.3
	// maxCells bounds the cells that are remembered; forgetAfter is when one may be forgotten.
	maxCells    = 1024
	forgetAfter = time.Minute
)

// LoadTable remembers how busy the cells are. It belongs to one task.
type LoadTable struct {
	random *rand.Rand
	cells  map[string]*cellLoad
}

// cellLoad is what is known of one cell.
type cellLoad struct {
	summary message.CellSummary
	at      time.Time
	failed  bool
	// asked is the number of requests sent since the summary.
	asked int
}

// NewLoadTable returns a LoadTable that knows no cell.
func NewLoadTable(random *rand.Rand) *LoadTable {
	return &LoadTable{random: random, cells: map[string]*cellLoad{}}
}

// Observe keeps the newest summary of a cell.
func (b *LoadTable) Observe(now time.Time, cell string, s message.CellSummary) {
	*b.load(now, cell) = cellLoad{summary: s, at: now}
}

// Failed notes that a cell could not be asked.
func (b *LoadTable) Failed(now time.Time, cell string) {
	*b.load(now, cell) = cellLoad{at: now, failed: true}
}

// Asked notes that a request was sent to a cell.
func (b *LoadTable) Asked(now time.Time, cell string) { b.load(now, cell).asked++ }

func (b *LoadTable) load(now time.Time, cell string) *cellLoad {
	if l, ok := b.cells[cell]; ok {
		return l
	}
	if len(b.cells) >= maxCells {
		maps.DeleteFunc(b.cells, func(_ string, l *cellLoad) bool { return now.Sub(l.at) > forgetAfter })
	}
	l := &cellLoad{at: now}
	b.cells[cell] = l
	return l
}

// Pressure returns how busy a cell is believed to be, from 0 (free or unknown) to 2. Above 1, requests wait.
func (b *LoadTable) Pressure(now time.Time, cell string) float64 {
	l, ok := b.cells[cell]
	if !ok {
		return 0
	}
	p := float64(failurePressure)
	if !l.failed {
		p = l.pressure()
	}
	return p * math.Exp2(-float64(now.Sub(l.at))/float64(halfLife))
}

// pressure is the load of the cell while it has room for another request, and above 1 by its queue otherwise.
func (l *cellLoad) pressure() float64 {
	s := l.summary
	if room := s.Free - l.asked; room > 0 && s.Queued == 0 {
		return s.Load + (1-s.Load)*float64(l.asked)/float64(s.Free)
	}
	waiting := float64(s.Queued + max(0, l.asked-s.Free))
	return 1 + waiting/(waiting+queueScale)
}

// Pick returns the index of the candidate to ask; there must be one. It compares two random candidates, and prefers the
// cell of the prefix if it is not much busier. A prefix of 0 means that there is none.
func (b *LoadTable) Pick(now time.Time, candidates []Candidate, prefix uint64) int {
	cost := func(i int) float64 {
		return b.Pressure(now, candidates[i].Cell) + candidates[i].penalty()
	}
	best := b.sample(candidates, -1)
	if len(candidates) > 1 {
		if other := b.sample(candidates, best); cost(other) < cost(best) {
			best = other
		}
	}
	if prefix != 0 {
		if i := preferred(candidates, prefix); cost(i) <= cost(best)+affinityMargin {
			return i
		}
	}
	return best
}

// sample draws a candidate by the weight of its distance, other than the given one.
func (b *LoadTable) sample(candidates []Candidate, except int) int {
	total := 0.0
	for i, c := range candidates {
		if i != except {
			total += c.weight()
		}
	}
	at := b.random.Float64() * total
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

// preferred returns the candidate with the highest rendezvous hash among those of this region, so that all nodes of a
// region prefer the same cell, or among all if the region has none.
func preferred(candidates []Candidate, prefix uint64) int {
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
