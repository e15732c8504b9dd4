package placement

// RoundRobinPicker picks the candidates in turn and ignores their scores.
type RoundRobinPicker struct {
	// last is the index of the candidate that was picked last; -1 before the first pick.
	last int
}

// Pick implements Picker.
func (p *RoundRobinPicker) Pick(scored []Scored) int {
	chosen := 0
	for i, s := range scored {
		if s.Index > p.last {
			chosen = i
			break
		}
	}
	p.last = scored[chosen].Index
	return chosen
}
