package rollout

import "slices"

const (
	// OverflowRoute is the route under which all routes beyond the bound are counted.
	OverflowRoute = "*"
	// maxRoutes bounds the routes of a tally, and with them its encoded size.
	maxRoutes = 16
)

// Tally holds the counts of the outcomes of a roll-out, by group and route. The zero value is empty. Counts are cumulative, so a
// newer tally of a process replaces an older one.
type Tally struct {
	// Entries are sorted by group and route.
	Entries []TallyEntry `cbor:"1,keyasint,omitempty"`
}

// RecordSend counts a request that was sent to an endpoint of a group.
func (t *Tally) RecordSend(g Group, route string) { t.entry(g, route).Sends++ }

// RecordFirstEvent counts the time to the first event of a request when the event arrives, so that a version is judged before its
// answers end. The Sample of the outcome then has Started set.
func (t *Tally) RecordFirstEvent(s Sample) {
	t.entry(s.Group, s.Route).recordResponse(s)
}

// RecordInterval counts the mean time between the events of a request that has not ended. It is called at most once for a request,
// after enough events for a mean. The Sample of the outcome then has no Interval.
func (t *Tally) RecordInterval(s Sample) {
	t.entry(s.Group, s.Route).recordInterval(s)
}

// Record counts the outcome of a request.
func (t *Tally) Record(s Sample) {
	e := t.entry(s.Group, s.Route)
	e.Answers++
	if !s.Started {
		e.recordResponse(s)
	}
	e.recordInterval(s)
	if s.Failed {
		e.recordFailure(s.Endpoint)
	}
}

// RecordUnevaluated counts that a sent request has ended without a response for a reason unrelated to the version: it provably did not
// run, or its data centre was taken out. Without this count it would seem to wait for a response.
func (t *Tally) RecordUnevaluated(g Group, route string) { t.entry(g, route).Unevaluated++ }

// Add adds the counts of another tally.
func (t *Tally) Add(o Tally) {
	for i := range o.Entries {
		t.entry(o.Entries[i].Group, o.Entries[i].Route).add(&o.Entries[i])
	}
}

// KeepLarger keeps the larger of each pair of counts. It merges sums over the same nodes, of which each may lack counts.
func (t *Tally) KeepLarger(o Tally) {
	for i := range o.Entries {
		t.entry(o.Entries[i].Group, o.Entries[i].Route).keepLarger(&o.Entries[i])
	}
}

// Clone returns a copy that shares no memory, so that it can be sent to another task.
func (t *Tally) Clone() Tally {
	c := Tally{Entries: make([]TallyEntry, len(t.Entries))}
	for i := range t.Entries {
		c.Entries[i] = t.Entries[i].clone()
	}
	return c
}

// Sends returns the number of requests that were sent to a group, over all routes.
func (t *Tally) Sends(g Group) int64 {
	total := int64(0)
	for i := range t.Entries {
		if t.Entries[i].Group == g {
			total += t.Entries[i].Sends
		}
	}
	return total
}

// routes returns the names of the routes in order.
func (t *Tally) routes() []string {
	names := make([]string, 0, len(t.Entries))
	for i := range t.Entries {
		names = append(names, t.Entries[i].Route)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// find returns the position of an entry, and whether it exists.
func (t *Tally) find(g Group, route string) (int, bool) {
	return slices.BinarySearchFunc(t.Entries, TallyEntry{Group: g, Route: route}, TallyEntry.compare)
}

// entry returns the entry of a group and a route, which it adds if there is none. A route beyond the bound is counted under
// OverflowRoute for all groups, since groups are compared by route.
func (t *Tally) entry(g Group, route string) *TallyEntry {
	i, found := t.find(g, route)
	if !found {
		if route != OverflowRoute && t.isFull(route) {
			return t.entry(g, OverflowRoute)
		}
		t.Entries = slices.Insert(t.Entries, i, TallyEntry{Group: g, Route: route})
	}
	return &t.Entries[i]
}

// isFull reports whether a route can't be added. The overflow route is not counted.
func (t *Tally) isFull(route string) bool {
	names := t.routes()
	if slices.Contains(names, route) {
		return false
	}
	if slices.Contains(names, OverflowRoute) {
		return len(names) > maxRoutes
	}
	return len(names) >= maxRoutes
}
