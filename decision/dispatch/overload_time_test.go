package dispatch

import (
	"maps"
	"slices"

	"azuredyke.dev/azuredyke/decision/overload"
)

// advanceEngines runs the engines, ends those that leave, and takes the next step of the migrations.
func (f *overloadFleet) advanceEngines(now int) {
	gone := false
	for _, e := range f.engines {
		for _, r := range e.advance(now, f.ordered) {
			if r.firstEvent == 0 {
				r.firstEvent = now
				f.nodes[r.node].table.ObservePrefill(at(now), r.number)
				f.nodes[r.node].table.RecordFirstEvent(r.number)
			} else if now-r.lastEvent > longestGap {
				r.longGap = true
			}
			r.lastEvent = now
			if r.output == 0 {
				f.end(now, r, true)
			}
		}
		if e.leavesAt > 0 {
			for _, r := range slices.Concat(e.active, e.waiting) {
				f.migrate(now, r)
			}
			gone = gone || now >= e.leavesAt
		}
	}
	if !gone {
		return
	}
	for _, e := range f.engines {
		if e.leavesAt > 0 && now >= e.leavesAt {
			for _, r := range slices.Concat(e.active, e.waiting) {
				f.results[r.class.name].cut++
				f.end(now, r, false)
			}
		}
	}
	before := len(f.engines)
	f.engines = slices.DeleteFunc(f.engines, func(e *overloadEngine) bool { return e.leavesAt > 0 && now >= e.leavesAt })
	f.addEngines(now, before-len(f.engines))
}

// leave announces the departure of a share of the engines.
func (f *overloadFleet) leave(now int, share float64) {
	n := int(share * float64(len(f.engines)))
	for _, i := range f.random.Perm(len(f.engines))[:n] {
		if e := f.engines[i]; e.leavesAt == 0 {
			e.leavesAt = now + 1500 + f.random.IntN(500)
		}
	}
	f.publish(now)
}

// migrate takes the next step of moving a run off a leaving engine.
func (f *overloadFleet) migrate(now int, r *overloadRun) {
	table := f.nodes[r.node].table
	if !r.class.migrates || r.prefill > 0 || now < r.nextMove {
		return
	}
	if r.target == 0 {
		request := r.request()
		request.Resumed, request.CopyPending, request.ForceRepeat, request.Repeat = true, true, true, true
		request.Exclude = append(slices.Clone(r.refused), r.engine.id)
		placed, refusal := table.Place(at(now), request)
		r.nextMove = now + migrationRetryMs
		if refusal != "" {
			return
		}
		f.copies++
		e := f.engine(placed.Endpoint.ID)
		if e == nil || e.leavesAt > 0 || e.used()+r.context > overloadMemory {
			f.copiesRefused++
			r.refused = append(r.refused, placed.Endpoint.ID)
			table.Release(at(now), placed.Run, Cancelled)
			return
		}
		e.copies += r.context
		r.target, r.prefill = placed.Run, 0
		begin := max(now, r.engine.linkFree)
		r.copyEnd = begin + r.context/copyTokensPerMs
		r.engine.linkFree, r.nextMove = r.copyEnd, r.copyEnd
		return
	}
	e := f.engine(table.runs[r.target].endpoint.ID)
	table.RecordFirstEvent(r.target)
	table.Release(at(now), r.number, Cancelled)
	r.engine.remove(r)
	r.number, r.target = r.target, 0
	if e == nil {
		f.end(now, r, false)
		return
	}
	e.copies = max(0, e.copies-r.context)
	r.engine = e
	e.active = append(e.active, r)
}

// end ends a request and counts its answer.
func (f *overloadFleet) end(now int, r *overloadRun, answered bool) {
	if r.ended {
		return
	}
	r.ended = true
	n, result := f.nodes[r.node], f.results[r.class.name]
	switch {
	case !answered || now-r.arrived > r.class.deadline:
		result.failed++
	case r.longGap || r.firstEvent-r.arrived > r.class.objective:
		result.late++
	default:
		result.inTime++
		if r.workspace != "w0" {
			result.othersInTime++
		}
	}
	if r.number != 0 {
		n.table.Release(at(now), r.number, Succeeded)
	}
	if r.target != 0 {
		if e := f.engine(n.table.runs[r.target].endpoint.ID); e != nil {
			e.copies = max(0, e.copies-r.context)
		}
		n.table.Release(at(now), r.target, Cancelled)
	}
	if r.engine != nil {
		r.engine.remove(r)
		f.scan(now, n)
	}
	f.open = slices.DeleteFunc(f.open, func(o *overloadRun) bool { return o == r })
}

// endOverdue ends the requests whose deadline has passed or whose callers have left.
func (f *overloadFleet) endOverdue(now int) {
	for _, r := range slices.Clone(f.open) {
		if now-r.arrived > r.class.deadline || r.firstEvent == 0 && now-r.arrived > r.class.leave {
			f.end(now, r, false)
		}
	}
}

// recordLoads records the load of all nodes.
func (f *overloadFleet) recordLoads() {
	record := loadRecord{total: map[string]Load{}}
	for _, n := range f.nodes {
		if n.own == nil || n.table.OwnLoadsChanged() {
			n.own = map[string]Load{}
			for _, l := range n.table.OwnLoads() {
				n.own[l.Endpoint] = l
			}
		}
		for id, l := range n.own {
			record.total[id] = addLoad(id, record.total[id], l, 1)
		}
		record.own = append(record.own, n.own)
	}
	if f.ordered && len(f.history)%10 == 0 {
		for _, n := range f.nodes {
			n.pressure = overload.Pressure{}
			if n.queue.Len() > 0 || !f.lastPressure.IsZero() {
				n.pressure = n.queue.Pressure(at(len(f.history) * historyInterval))
			}
			record.allPressure = record.allPressure.Add(n.pressure)
		}
		f.lastPressure = record.allPressure
	}
	record.ids = slices.Sorted(maps.Keys(record.total))
	record.allPressure = f.lastPressure
	for _, n := range f.nodes {
		record.pressure = append(record.pressure, n.pressure)
	}
	f.history = append(f.history, record)
}

func addLoad(id string, a, b Load, sign int) Load {
	return Load{Endpoint: id, InFlight: a.InFlight + sign*b.InFlight, Tokens: a.Tokens + sign*b.Tokens, Prefill: a.Prefill + sign*b.Prefill}
}

// updateNode gives a node the delayed load of the others and lets it try its waiting requests.
func (f *overloadFleet) updateNode(now, i int, n *overloadNode) {
	if then := (now-n.delay)/historyInterval - 1; then >= 0 && !f.isolated(now, i) {
		record := f.history[then]
		var loads []Load
		for _, id := range record.ids {
			loads = append(loads, addLoad(id, record.total[id], record.own[i][id], -1))
		}
		n.table.SetOthersLoad(at(now), loads)
		n.queue.SetOthers(at(now), record.allPressure.Without(record.pressure[i]))
	}
	f.scan(now, n)
}

func (f *overloadFleet) scan(now int, n *overloadNode) {
	if f.ordered {
		f.apply(now, n.queue.Scan(at(now), func(h *HeldRequest) bool { return f.byHeld[h].ended }))
		return
	}
	f.placeUnordered(now, n)
}
