package engine

import (
	"cmp"
	"time"
)

// Options configures a Server. Zero values stand for the defaults in parentheses.
type Options struct {
	// Model is loaded at the start.
	Model string
	// Tokens is the length of each answer; 0 draws the lengths from Lengths.
	Tokens int
	// Lengths holds the distributions of answer lengths; the first whose marker the prompt contains is used.
	Lengths []LengthClass
	// Seed makes lengths and lost cache events repeatable.
	Seed uint64

	// StepTime is the time of an empty decode step (20 ms).
	StepTime time.Duration
	// SequenceTime is added to a step for each decoding sequence (200 µs).
	SequenceTime time.Duration
	// PrefillTime is added to a step for each prefilled token (50 µs).
	PrefillTime time.Duration
	// PrefillTokens bounds the prefilled tokens of one step (2048).
	PrefillTokens int
	// TimeScale multiplies every time of the engine model (1). DetachGrace, Retention and LeaveDelay are not scaled, since
	// they meet deadlines of callers.
	TimeScale float64

	// MaxBatch bounds the running sequences (64).
	MaxBatch int
	// Blocks is the size of the key-value memory in blocks (4096).
	Blocks int64
	// BlockTokens is the number of tokens in a block (16).
	BlockTokens int64

	// StartsCold makes the first incarnation cold. Later incarnations are always cold.
	StartsCold bool
	// ColdLimit is the number of running and waiting requests that the engine bears while it is cold (1).
	ColdLimit int
	// WarmAfter is the number of completed requests after which the engine is warm (4).
	WarmAfter int
	// ColdSlowdown multiplies the time of a step while the engine is cold (4).
	ColdSlowdown float64
	// ColdFallsOver makes the engine crash when it receives more than ColdLimit while cold.
	ColdFallsOver bool
	// RestartTime is the time from a crash to the next incarnation (500 ms).
	RestartTime time.Duration

	// LoadLag is the age of load reports (0).
	LoadLag time.Duration
	// CacheEventLag is the age of the newest cache event shown (0).
	CacheEventLag time.Duration
	// CacheEventLoss is the share of cache events that are never shown, from 0 to 1.
	CacheEventLoss float64
	// OrderTime is the time that an order takes (0).
	OrderTime time.Duration
	// HonoursFencing refuses requests and orders whose fencing number is older than the newest one seen.
	HonoursFencing bool
	// CrashMarker is a text that crashes the engine when a prompt contains it.
	CrashMarker string

	// DetachGrace is how long a generation runs on with nobody attached (10 s).
	DetachGrace time.Duration
	// Retention is how long an ended generation can be resumed (60 s).
	Retention time.Duration
	// LeaveDelay is the time from draining in load reports to refusing new requests (0).
	LeaveDelay time.Duration
}

// withDefaults fills in the defaults and applies the time scale.
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
