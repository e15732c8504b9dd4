package membership

import (
	"slices"
	"time"
)

// probing is the state of the probe schedule.
type probing struct {
	// window holds the members that are probed; turn is the rest of the current round.
	window []string
	turn   []string
	// rotateAt is when one member of the window is exchanged.
	rotateAt time.Time
	count    int
	// failed holds the members that failed to answer since the last answer.
	failed map[string]bool
}

// NextProbe returns whom to probe now.
func (v *View) NextProbe(now time.Time) (Target, bool) {
	v.fillWindow(now)
	p := &v.probing
	p.count++
	if len(p.window) == 0 || p.count%2 == 0 {
		if t, ok := v.newSeed(); ok {
			return t, true
		}
	}
	if len(p.window) == 0 || p.count%reprobeEvery == 0 {
		if t, ok := v.absent(); ok {
			return t, true
		}
	}
	if len(p.turn) == 0 {
		p.turn = slices.Clone(p.window)
		v.random.Shuffle(len(p.turn), func(i, j int) { p.turn[i], p.turn[j] = p.turn[j], p.turn[i] })
	}
	for len(p.turn) > 0 {
		id := p.turn[0]
		p.turn = p.turn[1:]
		if e, ok := v.entries[id]; ok && e.member.State.Present() {
			return Target{ID: id, Address: e.member.Address}, true
		}
	}
	return Target{}, false
}

// fillWindow keeps the window full of present members and exchanges one of them from time to time.
func (v *View) fillWindow(now time.Time) {
	p := &v.probing
	p.window = slices.DeleteFunc(p.window, func(id string) bool {
		e, ok := v.entries[id]
		return !ok || !e.member.State.Present()
	})
	if len(p.window) >= v.params.Window && !now.Before(p.rotateAt) {
		i := v.random.IntN(len(p.window))
		p.window = slices.Delete(p.window, i, i+1)
		p.rotateAt = now.Add(v.params.RotateInterval)
	}
	if len(p.window) >= v.params.Window {
		return
	}
	inWindow := map[string]bool{}
	for _, id := range p.window {
		inWindow[id] = true
	}
	var others []string
	for id, e := range v.entries {
		if !inWindow[id] && e.member.State.Present() {
			others = append(others, id)
		}
	}
	slices.Sort(others)
	v.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	p.window = append(p.window, others[:min(len(others), v.params.Window-len(p.window))]...)
}

// newSeed returns a listed host of which nothing is known and that was not tried yet.
func (v *View) newSeed() (Target, bool) {
	known := map[string]bool{}
	for _, e := range v.entries {
		known[e.member.Address] = true
	}
	var targets []Target
	for _, s := range v.seeds {
		if !known[s.Address] && !v.tried[s.Address] {
			targets = append(targets, s)
		}
	}
	if len(targets) == 0 {
		return Target{}, false
	}
	t := targets[v.random.IntN(len(targets))]
	v.tried[t.Address] = true
	return t, true
}

// absent returns a removed member or a listed host of which nothing is known.
func (v *View) absent() (Target, bool) {
	known := map[string]bool{}
	var targets []Target
	for id, e := range v.entries {
		known[e.member.Address] = known[e.member.Address] || e.member.State != StateLeft
		if e.member.State == StateRemoved {
			targets = append(targets, Target{ID: id, Address: e.member.Address})
		}
	}
	for _, s := range v.seeds {
		if !known[s.Address] {
			targets = append(targets, s)
		}
	}
	if len(targets) == 0 {
		return Target{}, false
	}
	slices.SortFunc(targets, func(a, b Target) int { return compareStrings(a.Address, b.Address, a.ID, b.ID) })
	return targets[v.random.IntN(len(targets))], true
}

// Others returns up to n random present members of the probe window, without the given ids.
func (v *View) Others(n int, without ...string) []Target {
	ids := slices.Clone(v.probing.window)
	v.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var out []Target
	for _, id := range ids {
		if e, ok := v.entries[id]; ok && e.member.State.Present() && !slices.Contains(without, id) && len(out) < n {
			out = append(out, Target{ID: id, Address: e.member.Address})
		}
	}
	return out
}

// Answered notes that a member answered, so this node is not isolated. If it was, the suspicions start again, since those
// members could not be heard.
func (v *View) Answered(now time.Time) {
	if v.Isolated() {
		for _, e := range v.entries {
			if e.member.State == StateSuspect {
				e.since, e.own = now, false
			}
		}
	}
	clear(v.probing.failed)
}

// Failed notes that a member answered neither directly nor through others.
func (v *View) Failed(now time.Time, id string) {
	e, ok := v.entries[id]
	if !ok || !e.member.State.Present() {
		return
	}
	if v.probing.failed == nil {
		v.probing.failed = map[string]bool{}
	}
	v.probing.failed[id] = true
	if v.Isolated() {
		return
	}
	if e.member.State == StateAlive {
		m := e.member
		m.State = StateSuspect
		v.store(now, e, m)
	}
	e.own = true
}

// Isolated reports whether several members in a row failed to answer, in which case this node judges no one.
func (v *View) Isolated() bool { return len(v.probing.failed) >= isolationFailures }

// Tick removes members whose suspicion was not refuted and forgets old ones.
func (v *View) Tick(now time.Time) {
	for id, e := range v.entries {
		age := now.Sub(e.since)
		switch {
		case e.member.State == StateSuspect && !v.Isolated():
			if age >= v.params.RemoveAfter*removeFactor || e.own && age >= v.params.RemoveAfter {
				m := e.member
				m.State = StateRemoved
				v.store(now, e, m)
			}
		case !e.member.State.Present() && age >= v.params.Retention:
			delete(v.entries, id)
			delete(v.spreading, id)
			v.dirty = true
		}
	}
}
