package placement

import "math"

const (
	// binsPerOctave and binCount define log-spaced bins from 1 token to 2^18 tokens.
	binsPerOctave = 2
	binCount      = 18 * binsPerOctave
	// priorWeight is the number of answers to which the prior, or the parent table, is equivalent.
	priorWeight = 8
	// halfLifeAnswers is the number of answers after which the weight of an answer has halved.
	halfLifeAnswers = 2048
	// answersPerDecay is the number of answers between two decays of the counts.
	answersPerDecay = 64
)

// priorHazard returns the probability that an answer which reaches a bin ends in it, before any observation. The resulting
// lengths have a median of about 130 tokens; one answer in five is longer than 1,024 and one in forty longer than 4,096.
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

// decayFactor is the factor by which one decay multiplies the counts.
var decayFactor = math.Exp2(-float64(answersPerDecay) / halfLifeAnswers)

// LengthTable is an exponentially decayed survival table of output lengths. It also counts running answers, because the answers
// that end first are the short ones.
type LengthTable struct {
	// parent is the table that provides the prior; nil means priorHazard.
	parent *LengthTable
	// exposure counts the answers that reached a bin and grew beyond it or ended in it; endings counts those that ended in it.
	exposure, endings [binCount]float64
	hazard            [binCount]float64
	// logSurvived is the logarithm of the probability of reaching the start of a bin.
	logSurvived  [binCount + 1]float64
	endedAnswers int
	upToDate     bool
}

// NewLengthTable returns an empty table whose prior is the parent, or priorHazard if parent is nil.
func NewLengthTable(parent *LengthTable) *LengthTable { return &LengthTable{parent: parent} }

// RecordGrowth records that a running answer grew from one number of tokens to another.
func (t *LengthTable) RecordGrowth(from, to int) {
	first, last := binOf(from), binOf(to)
	for b := first; b < last; b++ {
		t.exposure[b]++
	}
	t.upToDate = t.upToDate && first == last
}

// RecordEnd records that an answer whose growth was recorded ended by itself after the given number of tokens.
func (t *LengthTable) RecordEnd(tokens int) {
	b := binOf(tokens)
	t.exposure[b]++
	t.endings[b]++
	t.upToDate = false
	t.endedAnswers++
	if t.endedAnswers%answersPerDecay != 0 {
		return
	}
	for b := range binCount {
		t.exposure[b] *= decayFactor
		t.endings[b] *= decayFactor
	}
}

// Survival returns the probability that an answer of from tokens reaches to tokens.
func (t *LengthTable) Survival(from, to int) float64 {
	return math.Exp(t.logSurvival(float64(to)) - t.logSurvival(float64(from)))
}

// Remaining returns the expected number of further tokens of an answer of the given length.
func (t *LengthTable) Remaining(tokens int) float64 {
	at := max(1, float64(tokens))
	start := t.logSurvival(at)
	remaining, reached := 0.0, 1.0
	for b := binOf(tokens); b < binCount; b++ {
		end := binStart(b + 1)
		left := math.Exp(t.logSurvived[b+1] - start)
		remaining += (end - at) * (reached + left) / 2
		at, reached = end, left
	}
	return remaining
}

// Quantile returns the number of further tokens that an answer of the given length doesn't exceed with probability q.
func (t *LengthTable) Quantile(tokens int, q float64) float64 {
	from := max(1, float64(tokens))
	target := t.logSurvival(from) + math.Log(1-q)
	for b := binOf(tokens); b < binCount; b++ {
		if t.logSurvived[b+1] > target {
			continue
		}
		share := (target - t.logSurvived[b]) / (t.logSurvived[b+1] - t.logSurvived[b])
		return max(0, math.Exp2((float64(b)+min(1, share))/binsPerOctave)-from)
	}
	return binStart(binCount) - from
}

// logSurvival returns the logarithm of the probability of reaching a length. Within a bin it is linear in the logarithm of the
// length.
func (t *LengthTable) logSurvival(tokens float64) float64 {
	t.refresh()
	if tokens <= 1 {
		return 0
	}
	position := binsPerOctave * math.Log2(tokens)
	b := min(binCount-1, int(position))
	return t.logSurvived[b] + min(1, position-float64(b))*(t.logSurvived[b+1]-t.logSurvived[b])
}

// refresh recomputes the hazards and the survival if the counts have changed.
func (t *LengthTable) refresh() {
	if t.upToDate {
		return
	}
	t.upToDate = true
	if t.parent != nil {
		t.parent.refresh()
	}
	for b := range binCount {
		prior := priorHazard(b)
		if t.parent != nil {
			prior = t.parent.hazard[b]
		}
		t.hazard[b] = (t.endings[b] + priorWeight*prior) / (t.exposure[b] + priorWeight)
		t.logSurvived[b+1] = t.logSurvived[b] + math.Log1p(-min(t.hazard[b], 0.999))
	}
}

// binOf returns the bin of a length.
func binOf(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	return min(binCount-1, int(binsPerOctave*math.Log2(float64(tokens))))
}

// binStart returns the shortest length of a bin.
func binStart(b int) float64 { return math.Exp2(float64(b) / binsPerOctave) }
