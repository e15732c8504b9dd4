package membership

import (
	"slices"
	"time"
)

// probing is the state of the probe schedule.
type probing struct {
	// window holds the ids of the members to probe.
	window []string
	// round holds the ids that are still to be probed in the current pass over the window.
	round []string
	// rotateAt is the time at which the next member of the window is replaced.
	rotateAt time.Time
	count    int
	// failed holds the ids of the members that have failed to answer since the last answer from any member.
	failed map[string]bool
}

// NextProbe returns the next probe target, or false if there is none.
func (v *View) NextProbe(now time.Time) (Target, bool) {
	v.fillWindow(now)
	p := &v.probing
	p.count++
	if len(p.window) == 0 || p.count%2 == 0 {
		if t, ok := v.untriedSeed(); ok {
			return t, true
		}
	}
	if len(p.window) == 0 || p.count%reprobeEvery == 0 {
		if t, ok := v.absentTarget(); ok {
			return t, true
		}
	}
	if len(p.round) == 0 {
		p.round = slices.Clone(p.window)
		v.random.Shuffle(len(p.round), func(i, j int) { p.round[i], p.round[j] = p.round[j], p.round[i] })
	}
	for len(p.round) > 0 {
		id := p.round[0]
		p.round = p.round[1:]
		if e, ok := v.entries[id]; ok && e.member.State.Present() {
			return Target{ID: id, Address: e.member.Address}, true
		}
	}
	return Target{}, false
}

// fillWindow fills the window with present members, and replaces one of them every Params.RotateInterval.
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

// untriedSeed returns a listed host that has no record and was not probed yet, and marks it as probed.
func (v *View) untriedSeed() (Target, bool) {
	known := map[string]bool{}
	for _, e := range v.entries {
		known[e.member.Address] = true
	}
	var targets []Target
	for _, s := range v.seeds {
		if !known[s.Address] && !v.triedSeeds[s.Address] {
			targets = append(targets, s)
		}
	}
	if len(targets) == 0 {
		return Target{}, false
	}
	t := targets[v.random.IntN(len(targets))]
	v.triedSeeds[t.Address] = true
	return t, true
}

// absentTarget returns a removed member or a listed host that has no record.
func (v *View) absentTarget() (Target, bool) {
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

// RandomMembers returns up to n random present members of the probe window, except the given ids.
func (v *View) RandomMembers(n int, without ...string) []Target {
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

// RecordAnswer records that a member answered, so this node is not isolated. If the node was isolated, it restarts the timers
// of all suspicions, since the answers of the suspects could not arrive.
func (v *View) RecordAnswer(now time.Time) {
	if v.Isolated() {
		for _, e := range v.entries {
			if e.member.State == StateSuspect {
				e.since, e.ownSuspicion = now, false
			}
		}
	}
	clear(v.probing.failed)
}

// RecordFailure records that a member answered neither a direct probe nor an indirect one.
func (v *View) RecordFailure(now time.Time, id string) {
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
	e.ownSuspicion = true
}

// Isolated reports whether isolationFailures members in a row failed to answer. The node then suspects and removes no
// members.
func (v *View) Isolated() bool { return len(v.probing.failed) >= isolationFailures }

// Tick removes members whose suspicion was not refuted in time, and deletes records that are past their retention.
func (v *View) Tick(now time.Time) {
	for id, e := range v.entries {
		age := now.Sub(e.since)
		switch {
		case e.member.State == StateSuspect && !v.Isolated():
			if age >= v.params.RemoveAfter*indirectRemoveFactor || e.ownSuspicion && age >= v.params.RemoveAfter {
				m := e.member
				m.State = StateRemoved
				v.store(now, e, m)
			}
		case !e.member.State.Present() && age >= v.params.Retention:
			delete(v.entries, id)
			delete(v.pending, id)
			v.dirty = true
		}
	}
}
