package rollout

// increment adds one to a count and extends the slice if it is too short, so that trailing zeros are never stored.
func increment(counts []int64, i int) []int64 {
	for len(counts) <= i {
		counts = append(counts, 0)
	}
	counts[i]++
	return counts
}

// addCounts adds counts position by position.
func addCounts(to, from []int64) []int64 {
	for len(to) < len(from) {
		to = append(to, 0)
	}
	for i, n := range from {
		to[i] += n
	}
	return to
}

// maxCounts keeps the larger count of each position.
func maxCounts(to, from []int64) []int64 {
	for len(to) < len(from) {
		to = append(to, 0)
	}
	for i, n := range from {
		to[i] = max(to[i], n)
	}
	return to
}

// countAt returns the count at a position, 0 beyond the end.
func countAt(counts []int64, i int) int64 {
	if i < len(counts) {
		return counts[i]
	}
	return 0
}
