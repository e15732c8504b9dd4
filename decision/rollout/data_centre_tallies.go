package rollout

// DataCentreTallies holds the sum of each data centre over its relays, for one order. The zero value is empty. One task owns it.
//
// The sums of two relays, or of two processes of one relay, count the same nodes. They are therefore not added: the larger of each
// pair of counts is kept, so that a relay that has just started does not take evidence away.
type DataCentreTallies struct {
	sums map[string]*Tally
	// newest holds the version of the newest sum by data centre and relay.
	newest map[string]map[string]TallyVersion
}

// Apply merges the sum of a data centre by one of its relays and reports whether it is newer than the last one of this relay.
func (d *DataCentreTallies) Apply(dataCentre, relay string, v TallyVersion, t Tally) bool {
	if d.sums == nil {
		d.sums, d.newest = map[string]*Tally{}, map[string]map[string]TallyVersion{}
	}
	if d.sums[dataCentre] == nil {
		d.sums[dataCentre], d.newest[dataCentre] = &Tally{}, map[string]TallyVersion{}
	}
	if held, known := d.newest[dataCentre][relay]; known && v.Compare(held) <= 0 {
		return false
	}
	d.newest[dataCentre][relay] = v
	d.sums[dataCentre].KeepLarger(t)
	return true
}

// Sum returns the sum over all data centres. It shares no memory with the tallies.
func (d *DataCentreTallies) Sum() Tally {
	sum := Tally{}
	for _, t := range d.sums {
		sum.Add(*t)
	}
	return sum
}
