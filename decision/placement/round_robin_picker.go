package placement

// RoundRobinPicker picks the candidates in turn, whatever their scores.
type RoundRobinPicker struct {
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
