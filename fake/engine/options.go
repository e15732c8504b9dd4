package engine

import (
	"cmp"
	"time"
)

// Options configures a Server. Zero values stand for the defaults in parentheses.
type Options struct {
	// Model is the model that each incarnation has loaded from its start; empty loads none.
	Model string
	// Tokens is the length of each answer in tokens; if it is 0, lengths are drawn from Lengths.
	Tokens int
	// Lengths holds the distributions of answer lengths. The first one whose marker occurs in the prompt is used.
	Lengths []LengthClass
	// Seed seeds the random answer lengths and dropped cache events.
	Seed uint64

	// StepTime is the base time of a step (20 ms).
	StepTime time.Duration
	// SequenceTime is added to a step for each decoding sequence (200 µs).
	SequenceTime time.Duration
	// PrefillTime is added to a step for each prefilled token (50 µs).
	PrefillTime time.Duration
	// PrefillTokens bounds the prefilled tokens of one step (2048).
	PrefillTokens int
	// TimeScale multiplies the simulated times (1). DetachGrace, Retention and LeaveDelay are not scaled, since they
	// interact with the callers' deadlines.
	TimeScale float64

	// MaxBatch bounds the running sequences (64).
	MaxBatch int
	// Blocks is the size of the key-value memory in blocks (4096).
	Blocks int64
	// BlockTokens is the number of tokens in a block (16).
	BlockTokens int64

	// StartsCold makes the first incarnation cold. Later incarnations are always cold.
	StartsCold bool
	// ColdLimit is the number of running and waiting requests that a cold engine can handle (1).
	ColdLimit int
	// WarmAfter is the number of completed requests after which the engine is warm (4).
	WarmAfter int
	// ColdSlowdown multiplies the time of a step while the engine is cold (4).
	ColdSlowdown float64
	// CrashesWhenOverloadedCold crashes the engine when it receives a request beyond ColdLimit while it is cold.
	CrashesWhenOverloadedCold bool
	// RestartTime is the time from a crash to the next incarnation (500 ms).
	RestartTime time.Duration

	// LoadLag is the delay after which a change of the load shows in load reports (0).
	LoadLag time.Duration
	// CacheEventLag is the delay after which a cache event is served (0).
	CacheEventLag time.Duration
	// CacheEventLoss is the fraction of cache events that are dropped, from 0 to 1.
	CacheEventLoss float64
	// OrderTime is the time from accepting an order to its effect (0).
	OrderTime time.Duration
	// HonoursFencing makes the engine refuse requests and orders whose fencing token is lower than the highest one
	// received.
	HonoursFencing bool
	// CrashMarker is a substring of prompts that crash the engine at their first token; empty disables it.
	CrashMarker string

	// DetachGrace is the time for which a generation continues without an attached reader (10 s).
	DetachGrace time.Duration
	// Retention is the time for which the stream of an ended generation can be resumed (60 s).
	Retention time.Duration
	// LeaveDelay is the time from the first load report with draining to the refusal of new requests (0).
	LeaveDelay time.Duration
}

// withDefaults sets the defaults and applies the time scale.
func (o Options) withDefaults() Options {
	o.StepTime = cmp.Or(o.StepTime, 20*time.Millisecond)
	o.SequenceTime = cmp.Or(o.SequenceTime, 200*time.Microsecond)
	o.PrefillTime = cmp.Or(o.PrefillTime, 50*time.Microsecond)
	o.PrefillTokens = cmp.Or(o.PrefillTokens, 2048)
	o.TimeScale = cmp.Or(o.TimeScale, 1)
	o.MaxBatch = cmp.Or(o.MaxBatch, 64)
	o.Blocks = cmp.Or(o.Blocks, 4096)
	o.BlockTokens = cmp.Or(o.BlockTokens, 16)
	o.ColdLimit = cmp.Or(o.ColdLimit, 1)
	o.WarmAfter = cmp.Or(o.WarmAfter, 4)
	o.ColdSlowdown = cmp.Or(o.ColdSlowdown, 4)
	o.RestartTime = cmp.Or(o.RestartTime, 500*time.Millisecond)
	o.DetachGrace = cmp.Or(o.DetachGrace, 10*time.Second)
	o.Retention = cmp.Or(o.Retention, time.Minute)
	for _, d := range []*time.Duration{
		&o.StepTime, &o.SequenceTime, &o.PrefillTime, &o.RestartTime, &o.LoadLag, &o.CacheEventLag, &o.OrderTime,
	} {
		*d = time.Duration(float64(*d) * o.TimeScale)
	}
	return o
}
