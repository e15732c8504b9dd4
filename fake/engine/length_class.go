package engine

import (
	"cmp"
	"math"
	"math/rand/v2"
	"strings"
)

// LengthClass is a log-normal distribution of answer lengths in tokens. Its heavy tail resembles production traffic.
// Zero values stand for the defaults in parentheses.
type LengthClass struct {
	// Marker is a substring of the prompts that the class applies to; an empty marker matches every prompt.
	Marker string
	// Median is the median length (64).
	Median float64
	// Sigma is the standard deviation of the logarithm of the length (1.2).
	Sigma float64
	// Max bounds the length (16384).
	Max int
}

// drawLength draws the length of an answer in tokens. The length depends only on the options and the prompt, so that a
// request has the same length on every engine with the same options, under any placement.
func drawLength(o Options, p prompt) int {
	if o.Tokens > 0 {
		return o.Tokens
	}
	class := LengthClass{}
	for _, c := range o.Lengths {
		if strings.Contains(p.text, c.Marker) {
			class = c
			break
		}
	}
	class.Median = cmp.Or(class.Median, 64)
	class.Sigma = cmp.Or(class.Sigma, 1.2)
	class.Max = cmp.Or(class.Max, 16384)
	r := rand.New(rand.NewPCG(o.Seed, p.hash))
	drawn := class.Median * math.Exp(class.Sigma*r.NormFloat64())
	return int(min(max(drawn, 1), float64(class.Max)))
}
