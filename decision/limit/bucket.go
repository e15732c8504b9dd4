package limit

import "time"

// defaultBurst is the capacity of a bucket as a time at its rate.
const defaultBurst = time.Second

// Bucket is a token bucket. Its level becomes negative when usage is charged that was not known in advance.
type Bucket struct {
	rate float64
	// burst is the capacity as a time at the rate, minCapacity its lower bound in tokens.
	burst       time.Duration
	minCapacity float64
	level       float64
	updated     time.Time
}

// NewBucket returns a full bucket with a rate in tokens per second. A rate of 0 means no limit.
func NewBucket(now time.Time, rate float64) *Bucket {
	// A rate below 1 still admits requests.
	b := NewEmptyBucket(now, rate, defaultBurst, 1)
	b.level = b.capacity()
	return b
}

// NewEmptyBucket returns an empty bucket that holds the tokens of burst at its rate, but at least minCapacity.
func NewEmptyBucket(now time.Time, rate float64, burst time.Duration, minCapacity float64) *Bucket {
	return &Bucket{rate: rate, burst: burst, minCapacity: minCapacity, updated: now}
}

// SetRate changes the rate from now on. It does not refill a bucket that is not full.
func (b *Bucket) SetRate(now time.Time, rate float64) {
	if rate == b.rate {
		return
	}
	b.refill(now)
	b.rate = rate
	b.level = min(b.level, b.capacity())
}

// Take charges n tokens and returns true if the bucket holds at least one token; otherwise it returns the time until it
// does.
func (b *Bucket) Take(now time.Time, n float64) (bool, time.Duration) { return b.TakeAbove(now, n, 1) }

// TakeAbove is Take with another level that the bucket must hold. A level of 0 or less lets the bucket be overdrawn.
func (b *Bucket) TakeAbove(now time.Time, n, level float64) (bool, time.Duration) {
	if b.rate <= 0 {
		return true, 0
	}
	b.refill(now)
	if b.level < level {
		return false, time.Duration((level - b.level) / b.rate * float64(time.Second))
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
	b.level = min(b.capacity(), b.level+elapsed*b.rate)
}

func (b *Bucket) capacity() float64 { return max(b.minCapacity, b.rate*b.burst.Seconds()) }
