package experiment

import (
	"math/rand/v2"
)

// lengthSamples is the number of draws for the mean output length.
const lengthSamples = 20_000

// means returns the mean prompt and output length of a request in tokens.
func (w Workload) means() (prompt, output float64) {
	var shares float64
	for _, c := range w.Classes {
		shares += c.Share
	}
	r := rand.New(rand.NewPCG(1, 1))
	for _, c := range w.Classes {
		sum := 0.0
		for range lengthSamples {
			sum += drawLength(r, c)
		}
		prompt += c.Share / shares * float64(c.PromptTokens)
		output += c.Share / shares * sum / lengthSamples
	}
	return prompt, output
}

// tokensPerSecond returns the output tokens a second of one engine whose memory is full of mean requests, each of them
// half done. Prefill takes its share of the steps.
func (s Scenario) tokensPerSecond() float64 {
	prompt, output := s.Workload.means()
	e := s.Engine
	footprint := prompt + output/2
	batch := min(float64(e.MaxBatch), float64(e.Blocks*e.BlockTokens)/footprint)
	decode := e.StepTime.Seconds() + batch*e.SequenceTime.Seconds()
	prefillPerToken := prompt / output * e.PrefillTime.Seconds()
	return 1 / (decode/batch + prefillPerToken)
}

// rate returns the arrival rate of completion requests a second.
func (s Scenario) rate() float64 {
	if s.Workload.RequestsPerSecond > 0 {
		return s.Workload.RequestsPerSecond
	}
	engines := 0
	for _, dc := range s.DataCentres {
		engines += dc.Engines
	}
	_, output := s.Workload.means()
	return s.Utilisation * s.tokensPerSecond() * float64(engines) / output
}
