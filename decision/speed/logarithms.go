package speed

import "time"

// logarithms is a decayed sum of logarithms of slowdowns.
type logarithms struct {
	updatedAt   time.Time
	sum, weight float64
}

func (l *logarithms) add(now time.Time, value, weight float64) {
	sum, total := l.at(now)
	l.sum, l.weight, l.updatedAt = sum+weight*value, total+weight, now
}

// at returns the sum and its weight at a time.
func (l *logarithms) at(now time.Time) (sum, weight float64) {
	if l.weight == 0 {
		return 0, 0
	}
	keep := decay(now.Sub(l.updatedAt), halfLife)
	return l.sum * keep, l.weight * keep
}
