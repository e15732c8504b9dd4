package limit

import "time"

// burstSeconds is the capacity of a bucket in seconds of its rate.
const burstSeconds = 1

// Bucket is a token bucket. Its level becomes negative when usage is charged that was not known in advance.
type Bucket struct {
	rate    float64
	level   float64
	updated time.Time
}

// NewBucket returns a full bucket with a rate in tokens per second. A rate of 0 means no limit.
func NewBucket(now time.Time, rate float64) *Bucket {
	return &Bucket{rate: rate, level: burstSize(rate), updated: now}
}

// SetRate changes the rate from now on. It does not refill a bucket that is not full.
func (b *Bucket) SetRate(now time.Time, rate float64) {
	if rate == b.rate {
		return
	}
	b.refill(now)
	b.rate = rate
	b.level = min(b.level, burstSize(rate))
}

// Take charges n tokens and returns true if the bucket holds at least one token; otherwise it returns the time until it
// does.
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

// Charge subtracts n tokens unconditionally, for example output tokens, whose number is known only at the end. A
// negative n returns tokens.
func (b *Bucket) Charge(now time.Time, n float64) {
	if b.rate > 0 {
		b.refill(now)
		b.level -= n
	}
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated).Seconds()
	b.updated = now
	b.level = min(burstSize(b.rate), b.level+elapsed*b.rate)
}

// burstSize returns the capacity of a bucket. It is at least one token, so that a rate below 1 still admits requests.
func burstSize(rate float64) float64 { return max(1, rate*burstSeconds) }
