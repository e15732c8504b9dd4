package routing

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"azuredyke.dev/azuredyke/common/message"
)

const (
	// halfLife is the time in which what is known of a cell loses half of its weight, so that a cell that was busy is
	// asked again.
	halfLife = 2 * time.Second
	// failurePressure is the pressure of a cell that did not answer.
	failurePressure = 1
	// affinityMargin is how much busier the cell that a prefix prefers may be than the other choice. Pressures are below 1.
	affinityMargin = 0.3
	// longQueue is the number of waiting requests that counts as half of the most.
	longQueue = 16
	// leastRoom keeps a chance for cells that are believed to be full.
	leastRoom = 0.001
	// maxCells bounds the cells that are remembered; forgetAfter is when one may be forgotten.
	maxCells    = 1024
	forgetAfter = time.Minute
)

// Book remembers how busy the cells are. It belongs to one task.
type Book struct {
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

// NewBook returns a Book that knows no cell.
func NewBook(random *rand.Rand) *Book { return &Book{random: random, cells: map[string]*cellLoad{}} }

// Observe keeps the newest summary of a cell.
func (b *Book) Observe(now time.Time, cell string, s message.CellSummary) {
	*b.load(now, cell) = cellLoad{summary: s, at: now}
}

// Failed notes that a cell could not be asked.
func (b *Book) Failed(now time.Time, cell string) {
	*b.load(now, cell) = cellLoad{at: now, failed: true}
}

// Asked notes that a request was sent to a cell.
func (b *Book) Asked(now time.Time, cell string) { b.load(now, cell).asked++ }

func (b *Book) load(now time.Time, cell string) *cellLoad {
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

// Pressure returns how busy a cell is believed to be, from 0 (unknown, or much is free) over 0.5 (nothing is free) to 1.
func (b *Book) Pressure(now time.Time, cell string) float64 {
	l, ok := b.cells[cell]
	if !ok {
		return 0
	}
	p := float64(failurePressure)
	if !l.failed {
		free := max(0, l.summary.Free-l.asked)
		waiting := float64(l.summary.Queued + max(0, l.asked-l.summary.Free))
		p = 0.5/float64(free+1) + 0.5*waiting/(waiting+longQueue)
	}
	return p * math.Exp2(-float64(now.Sub(l.at))/float64(halfLife))
}

// Pick returns the index of the candidate to ask; there must be one. It draws two candidates, which may be the same, by
// distance and room, takes the better one, and prefers the cell of the prefix if that is not much busier. A prefix of 0
// means that there is none.
func (b *Book) Pick(now time.Time, candidates []Candidate, prefix uint64) int {
	reachable := slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.Suspect })
	costs, weights, total := make([]float64, len(candidates)), make([]float64, len(candidates)), 0.0
	for i, c := range candidates {
		pressure := b.Pressure(now, c.Cell)
		costs[i] = pressure + c.penalty()
		if c.Suspect && reachable {
			continue
		}
		// The cube leaves little to a cell with a queue, which would otherwise be drawn twice too often.
		weights[i] = c.Distance.weight() * (leastRoom + math.Pow(1-min(1, pressure), 3))
		total += weights[i]
	}
	best, other := b.draw(weights, total), b.draw(weights, total)
	if costs[other] < costs[best] {
		best = other
	}
	if prefix != 0 {
		if i := preferred(candidates, prefix); costs[i] <= costs[best]+affinityMargin {
			return i
		}
	}
	return best
}

// draw returns a random index by weight.
func (b *Book) draw(weights []float64, total float64) int {
	at := b.random.Float64() * total
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// preferred returns the candidate with the highest rendezvous hash among those of this region, so that all nodes of a
// region prefer the same cell, or among all if the region has none.
func preferred(candidates []Candidate, prefix uint64) int {
	key := strconv.FormatUint(prefix, 16) + "\x00"
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
			cmp.Compare(xxh3.HashString(key+candidates[x].Cell), xxh3.HashString(key+candidates[y].Cell)),
			cmp.Compare(candidates[x].Cell, candidates[y].Cell))
	})
}
