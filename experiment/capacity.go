package experiment

import "math/rand/v2"

// drawsPerClass is the number of output lengths drawn per class to estimate the means.
const drawsPerClass = 20_000

// requestMeans holds the mean resource demand of completion requests.
type requestMeans struct {
	// promptTokens and outputTokens are the mean lengths of a prompt and an output.
	promptTokens, outputTokens float64
	// residentTokens is the mean number of tokens in memory per running request. Long outputs run longer, so they weigh more
	// in this mean than in outputTokens.
	residentTokens float64
}

// estimateMeans estimates the means from random output lengths with a fixed seed.
func (w Workload) estimateMeans() requestMeans {
	r := rand.New(rand.NewPCG(1, 1))
	var means requestMeans
	var shares, residentTokenSteps float64
	for _, c := range w.Classes {
		for range drawsPerClass {
			outputTokens := drawOutputTokens(r, c)
			means.outputTokens += c.Share * outputTokens
			residentTokenSteps += c.Share * outputTokens * (float64(c.PromptTokens) + outputTokens/2)
		}
		means.promptTokens += c.Share * float64(c.PromptTokens) * drawsPerClass
		shares += c.Share * drawsPerClass
	}
	means.residentTokens = residentTokenSteps / means.outputTokens
	means.outputTokens /= shares
	means.promptTokens /= shares
	return means
}

// engineTokensPerSecond returns the output tokens per second of one engine that runs as many requests as fit into its
// memory. The time for prefill is included.
func (s Scenario) engineTokensPerSecond() float64 {
	means := s.Workload.estimateMeans()
	e := s.Engine
	batch := min(float64(e.MaxBatch), float64(e.Blocks*e.BlockTokens)/means.residentTokens)
	decodeStep := e.StepTime.Seconds() + batch*e.SequenceTime.Seconds()
	prefillPerToken := means.promptTokens / means.outputTokens * e.PrefillTime.Seconds()
	return 1 / (decodeStep/batch + prefillPerToken)
}

// completionRate returns the mean arrival rate of completion requests per second.
func (s Scenario) completionRate() float64 {
	if s.Workload.RequestsPerSecond > 0 {
		return s.Workload.RequestsPerSecond
	}
	engines := 0
	for _, dc := range s.DataCentres {
		engines += dc.Engines
	}
	outputTokens := s.Workload.estimateMeans().outputTokens
	return s.Utilisation * s.engineTokensPerSecond() * float64(engines) / outputTokens
}
