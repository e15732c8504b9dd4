package configuration

import (
	"maps"
	"slices"
	"time"
)

// drawPullDelay returns a random time until the next pull, from half to one and a half of the interval, so that nodes do not
// pull in step. The interval is short while this node is behind or no peer answers, since links may have stalled.
func (d *Distributor) drawPullDelay() time.Duration {
	interval := pullInterval
	if d.awaitingAnswer || (d.isBehind() && time.Now().Before(d.fastPullUntil)) {
		interval = fastPullInterval
	}
	return interval/2 + time.Duration(d.random.Int64N(int64(interval)))
}

func (d *Distributor) inForceRevision() int64 { return d.manager.Current().Load().Revision() }

func (d *Distributor) isBehind() bool { return d.highestRevision > d.inForceRevision() }

// recordRevision updates the highest revision reported by peers and the peers that reported it.
func (d *Distributor) recordRevision(revision int64, address string) {
	if revision > d.manager.highestPeerRevision.Load() {
		d.manager.highestPeerRevision.Publish(revision)
	}
	switch {
	case revision > d.highestRevision:
		d.highestRevision, d.sources = revision, []string{address}
		d.fastPullUntil = time.Now().Add(maxFastPullTime)
	case revision == d.highestRevision && len(d.sources) < maxPulls:
		d.sources = append(d.sources, address)
	}
}

// scanMembers records the revisions of members that are ahead, and ends the avoidance of peers whose time has passed.
func (d *Distributor) scanMembers() {
	inForce, now := d.inForceRevision(), time.Now()
	maps.DeleteFunc(d.avoidedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	for _, m := range d.peers.Members().Load() {
		if m.Revision > inForce {
			d.recordRevision(m.Revision, m.Address)
		}
	}
}

// choosePeer returns the address of the next peer to pull from: a peer that is known to be ahead and has no pull in flight,
// or else a random peer without one. It returns an empty address if there is none.
func (d *Distributor) choosePeer() string {
	if d.isBehind() {
		for _, i := range d.random.Perm(len(d.sources)) {
			if !d.pullsInFlight[d.sources[i]] {
				return d.sources[i]
			}
		}
	}
	for _, m := range d.shuffleMembers() {
		if !d.pullsInFlight[m.Address] {
			return m.Address
		}
	}
	return ""
}

// shuffleMembers returns the members in random order, with the avoided peers last.
func (d *Distributor) shuffleMembers() []Member {
	members := slices.Clone(d.peers.Members().Load())
	d.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	now := time.Now()
	slices.SortStableFunc(members, func(a, b Member) int {
		switch aAvoided, bAvoided := now.Before(d.avoidedUntil[a.Address]), now.Before(d.avoidedUntil[b.Address]); {
		case aAvoided == bAvoided:
			return 0
		case aAvoided:
			return 1
		default:
			return -1
		}
	})
	return members
}

// removeSource removes a peer that did not answer or has nothing newer from the preferred peers.
func (d *Distributor) removeSource(address string) {
	d.sources = slices.DeleteFunc(d.sources, func(a string) bool { return a == address })
}

// isPullingFromSource reports whether a pull from a peer that is known to be ahead is in flight.
func (d *Distributor) isPullingFromSource() bool {
	return slices.ContainsFunc(d.sources, func(a string) bool { return d.pullsInFlight[a] })
}
