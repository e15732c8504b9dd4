package placement

import "math"

const (
	// binsPerOctave and bins give log-spaced bins from 1 token to 2^18 tokens.
	binsPerOctave = 2
	bins          = 18 * binsPerOctave
	// priorWeight is the number of answers that the prior, or the table of the service, counts for.
	priorWeight = 8
	// halfLife is the number of answers after which an answer counts for half.
	halfLife = 2048
	// decayEvery is the number of answers between two decays.
	decayEvery = 64
)

// priorHazard returns the chance that an answer ends within a bin before anything was learned. It gives a median of about
// 130 tokens, one answer in five above 1,024 and one in forty above 4,096.
func priorHazard(b int) float64 {
	switch {
	case b < 6*binsPerOctave:
		return 0.03
	case b < 10*binsPerOctave:
		return 0.15
	default:
		return 0.4
	}
}

// decay is the factor of one decay.
var decay = math.Exp2(-float64(decayEvery) / halfLife)

// LengthTable is a decayed survival table of output lengths. It learns from running answers too, since those that have
// ended are the short ones at first.
type LengthTable struct {
	// parent is the table that stands in for answers not seen here; nil for the prior.
	parent *LengthTable
	// exposure counts the answers that reached a bin and left it, deaths those of them that ended in it.
	exposure, deaths [bins]float64
	hazard           [bins]float64
	// logSurvived is the logarithm of the chance to reach the start of a bin.
	logSurvived [bins + 1]float64
	ended       int
	fresh       bool
}

// NewLengthTable returns an empty table that starts from another one, or from a general prior when parent is nil.
func NewLengthTable(parent *LengthTable) *LengthTable { return &LengthTable{parent: parent} }

// Grew learns that a running answer grew from one number of tokens to another.
func (t *LengthTable) Grew(from, to int) {
	first, last := bin(from), bin(to)
	for b := first; b < last; b++ {
		t.exposure[b]++
	}
	t.fresh = t.fresh && first == last
}

// Ended learns that an answer whose growth is known ended by itself after the given number of tokens.
func (t *LengthTable) Ended(tokens int) {
	b := bin(tokens)
	t.exposure[b]++
	t.deaths[b]++
	t.fresh = false
	t.ended++
	if t.ended%decayEvery != 0 {
		return
	}
	for b := range bins {
		t.exposure[b] *= decay
		t.deaths[b] *= decay
	}
}

// Survival returns the chance that an answer of from tokens reaches to tokens.
func (t *LengthTable) Survival(from, to int) float64 {
	return math.Exp(t.logSurvival(float64(to)) - t.logSurvival(float64(from)))
}

// Remaining returns the expected number of further tokens of an answer of the given length.
func (t *LengthTable) Remaining(tokens int) float64 {
	at := max(1, float64(tokens))
	start := t.logSurvival(at)
	remaining, reached := 0.0, 1.0
	for b := bin(tokens); b < bins; b++ {
		end := binStart(b + 1)
		left := math.Exp(t.logSurvived[b+1] - start)
		remaining += (end - at) * (reached + left) / 2
		at, reached = end, left
	}
	return remaining
}

// Quantile returns the number of further tokens that an answer of the given length stays within with chance q.
func (t *LengthTable) Quantile(tokens int, q float64) float64 {
	from := max(1, float64(tokens))
	target := t.logSurvival(from) + math.Log(1-q)
	for b := bin(tokens); b < bins; b++ {
		if t.logSurvived[b+1] > target {
			continue
		}
		share := (target - t.logSurvived[b]) / (t.logSurvived[b+1] - t.logSurvived[b])
		return max(0, math.Exp2((float64(b)+min(1, share))/binsPerOctave)-from)
	}
	return binStart(bins) - from
}

// logSurvival returns the logarithm of the chance to reach a length. Within a bin it is linear in the logarithm.
func (t *LengthTable) logSurvival(tokens float64) float64 {
	t.refresh()
	if tokens <= 1 {
		return 0
	}
	position := binsPerOctave * math.Log2(tokens)
	b := min(bins-1, int(position))
	return t.logSurvived[b] + min(1, position-float64(b))*(t.logSurvived[b+1]-t.logSurvived[b])
}

// refresh computes the survival from the counts if they changed.
func (t *LengthTable) refresh() {
	if t.fresh {
		return
	}
	t.fresh = true
	if t.parent != nil {
		t.parent.refresh()
	}
	for b := range bins {
		prior := priorHazard(b)
		if t.parent != nil {
			prior = t.parent.hazard[b]
		}
		t.hazard[b] = (t.deaths[b] + priorWeight*prior) / (t.exposure[b] + priorWeight)
		t.logSurvived[b+1] = t.logSurvived[b] + math.Log1p(-min(t.hazard[b], 0.999))
	}
}

// bin returns the bin of a length.
func bin(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	return min(bins-1, int(binsPerOctave*math.Log2(float64(tokens))))
}

// binStart returns the shortest length of a bin.
func binStart(b int) float64 { return math.Exp2(float64(b) / binsPerOctave) }
