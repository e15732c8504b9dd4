package experiment

import "math/rand/v2"

// lengthSamples is the number of draws for the mean output length.
const lengthSamples = 20_000

// demand is what the mean request asks of an engine.
type demand struct {
	// prompt and output are the mean lengths in tokens.
	prompt, output float64
	// footprint is the mean number of tokens in memory of the requests that run at some moment. Long answers run longer, so
	// they weigh more in it than in the mean length.
	footprint float64
}

// demand estimates the means from draws of the lengths.
func (w Workload) demand() demand {
	r := rand.New(rand.NewPCG(1, 1))
	var d demand
	var shares, tokenSteps float64
	for _, c := range w.Classes {
		for range lengthSamples {
			output := drawLength(r, c)
			d.output += c.Share * output
			tokenSteps += c.Share * output * (float64(c.PromptTokens) + output/2)
		}
		d.prompt += c.Share * float64(c.PromptTokens) * lengthSamples
		shares += c.Share * lengthSamples
	}
	d.footprint = tokenSteps / d.output
	d.output /= shares
	d.prompt /= shares
	return d
}

// tokensPerSecond returns the output tokens a second of one engine whose memory is full of running requests. Prefill takes
// its share of the steps.
func (s Scenario) tokensPerSecond() float64 {
	d := s.Workload.demand()
	e := s.Engine
	batch := min(float64(e.MaxBatch), float64(e.Blocks*e.BlockTokens)/d.footprint)
	decode := e.StepTime.Seconds() + batch*e.SequenceTime.Seconds()
	prefillPerToken := d.prompt / d.output * e.PrefillTime.Seconds()
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
	output := s.Workload.demand().output
	return s.Utilisation * s.tokensPerSecond() * float64(engines) / output
}
