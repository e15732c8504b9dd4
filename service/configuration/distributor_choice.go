package configuration

import (
	"maps"
	"slices"
	"time"
)

// nextPull returns the time to the next pull, drawn from half to one and a half of the interval, so that nodes do not
func (d *Distributor) nextPull() time.Duration {
	interval := pullInterval
	if d.unanswered || (d.behind() && time.Now().Before(d.hurryUntil)) {
		interval = hurryInterval
	}
	return interval/2 + time.Duration(d.random.Int64N(int64(interval)))
}

func (d *Distributor) inForce() int64 { return d.keeper.Current().Load().Revision() }

func (d *Distributor) behind() bool { return d.wanted > d.inForce() }

// hear remembers who has the highest revision heard of.
func (d *Distributor) hear(revision int64, address string) {
	if revision > d.keeper.heard.Load() {
		d.keeper.heard.Publish(revision)
	}
	switch {
	case revision > d.wanted:
		d.wanted, d.source = revision, []string{address}
		d.hurryUntil = time.Now().Add(hurryTime)
	case revision == d.wanted && len(d.source) < maxPulls:
		d.source = append(d.source, address)
	}
}

// hearMembers looks for members that are ahead, and no longer avoids peers whose time is up.
func (d *Distributor) hearMembers() {
	inForce, now := d.inForce(), time.Now()
	maps.DeleteFunc(d.silent, func(_ string, until time.Time) bool { return now.After(until) })
	for _, m := range d.peers.Members().Load() {
		if m.Revision > inForce {
			d.hear(m.Revision, m.Address)
		}
	}
}

// choose returns the peer to ask next: one that is known to be ahead, unless it is being asked already, else a random one.
func (d *Distributor) choose() string {
	if d.behind() {
		for _, i := range d.random.Perm(len(d.source)) {
			if !d.pulling[d.source[i]] {
				return d.source[i]
			}
		}
	}
	for _, m := range d.shuffled() {
		if !d.pulling[m.Address] {
			return m.Address
		}
	}
	return ""
}

// shuffled returns the members in random order, those that did not answer lately last.
func (d *Distributor) shuffled() []Member {
	members := slices.Clone(d.peers.Members().Load())
	d.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	now := time.Now()
	slices.SortStableFunc(members, func(a, b Member) int {
		switch x, y := now.Before(d.silent[a.Address]), now.Before(d.silent[b.Address]); {
		case x == y:
			return 0
		case x:
			return 1
		default:
			return -1
		}
	})
	return members
}

// forget no longer prefers a peer that did not answer or is not ahead.
func (d *Distributor) forget(address string) {
	d.source = slices.DeleteFunc(d.source, func(a string) bool { return a == address })
}

// asking reports whether a peer that is known to be ahead is being asked.
func (d *Distributor) asking() bool {
	return slices.ContainsFunc(d.source, func(a string) bool { return d.pulling[a] })
}
