package limit

import "time"

// burstSeconds is how many seconds of its rate a bucket can save up.
const burstSeconds = 1

// Bucket is a token bucket. It may be charged after the fact and then owes tokens.
type Bucket struct {
	rate    float64
	level   float64
	updated time.Time
}

// NewBucket returns a full bucket. A rate of 0 is no limit.
func NewBucket(now time.Time, rate float64) *Bucket {
	return &Bucket{rate: rate, level: burst(rate), updated: now}
}

// SetRate changes the rate from now on.
func (b *Bucket) SetRate(now time.Time, rate float64) {
	if rate == b.rate {
		return
	}
	b.refill(now)
	b.rate = rate
	b.level = min(b.level, burst(rate))
}

// Take charges n tokens if the bucket holds at least one; otherwise it returns how long that takes.
func (b *Bucket) Take(now time.Time, n float64) (bool, time.Duration) {
	if b.rate <= 0 {
		return true, 0
	}
	b.refill(now)
	if b.level < 1 {
		return false, time.Duration((1 - b.level) / b.rate * float64(time.Second))
	}
	b.level -= n
	return true, 0
}

// Charge takes n tokens after the fact, as for output tokens whose number was not known before.
func (b *Bucket) Charge(now time.Time, n float64) {
	if b.rate > 0 {
		b.refill(now)
		b.level -= n
	}
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated).Seconds()
	b.updated = now
	b.level = min(burst(b.rate), b.level+elapsed*b.rate)
}

// burst is at least one token, so that a slow rate still lets requests through.
func burst(rate float64) float64 { return max(1, rate*burstSeconds) }
