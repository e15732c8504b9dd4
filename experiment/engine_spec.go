package experiment

import (
	"time"

	fakeengine "azuredyke.dev/azuredyke/fake/engine"
)

// EngineSpec holds the parameters of the fake model engines.
type EngineSpec struct {
	StepTime     time.Duration `yaml:"step_time"`
	SequenceTime time.Duration `yaml:"sequence_time"`
	PrefillTime  time.Duration `yaml:"prefill_time"`
	MaxBatch     int           `yaml:"max_batch"`
	Blocks       int64         `yaml:"blocks"`
	BlockTokens  int64         `yaml:"block_tokens"`
	LoadLag      time.Duration `yaml:"load_lag"`
	ColdLimit    int           `yaml:"cold_limit"`
	// MaxConcurrency is the limit of the service on concurrent requests per warm endpoint.
	MaxConcurrency int `yaml:"max_concurrency"`
}

// options returns the options of one fake engine.
func (e EngineSpec) options(w Workload, seed uint64) fakeengine.Options {
	o := fakeengine.Options{
		Model: w.Model, Seed: seed, StepTime: e.StepTime, SequenceTime: e.SequenceTime, PrefillTime: e.PrefillTime,
		MaxBatch: e.MaxBatch, Blocks: e.Blocks, BlockTokens: e.BlockTokens, LoadLag: e.LoadLag, ColdLimit: e.ColdLimit,
		CacheEventLag: time.Second, CacheEventLoss: cacheEventLossShare,
	}
	for _, c := range w.Classes {
		o.Lengths = append(o.Lengths, fakeengine.LengthClass{
			Marker: c.marker(), Median: c.OutputMedian, Sigma: c.OutputSigma, Max: c.OutputMax,
		})
	}
	return o
}

// cacheEventLossShare is the share of cache events that a fake engine loses, from 0 to 1.
const cacheEventLossShare = 0.05
