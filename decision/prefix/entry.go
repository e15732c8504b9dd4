package prefix

// maxPlaces is the number of engines that an entry remembers, the latest ones. More than a few are of no use, since a request goes
// to one of them.
const maxPlaces = 4

// entry is a beginning of prompts that this node has placed.
type entry struct {
	// uses is the decayed number of requests with it, as of the request with the number lastUse.
	uses    float64
	lastUse uint64
	// places holds where it was placed, latest first.
	places [maxPlaces]place
}

// place is an engine to which a beginning was sent, and the tokens that the engine had been given by then.
type place struct {
	engine uint64
	given  float64
}

// record makes an engine the latest place.
func (e *entry) record(p place) {
	last := maxPlaces - 1
	for i, known := range e.places {
		if known.engine == p.engine {
			last = i
			break
		}
	}
	copy(e.places[1:last+1], e.places[:last])
	e.places[0] = p
}

// keptChance returns the chance that an engine still has the beginning from a request of this node. The entry may be nil.
func (e *entry) keptChance(on *Engine) float64 {
	if e == nil {
		return 0
	}
	for _, p := range e.places {
		if p.engine == on.Number {
			return on.keptChance(p.given)
		}
	}
	return 0
}

// retain removes the places whose incarnation has ended.
func (e *entry) retain(alive func(engine uint64) bool) {
	kept := 0
	for _, p := range e.places {
		if p.engine != 0 && alive(p.engine) {
			e.places[kept] = p
			kept++
		}
	}
	clear(e.places[kept:])
}
