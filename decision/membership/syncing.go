package membership

import "time"

// SyncDue reports whether a full exchange with the sender of a message is due. It is then counted as started.
func (v *View) SyncDue(now time.Time, m Message) bool {
	if m.Digest == v.digest() || now.Before(v.nextSync) {
		return false
	}
	v.nextSync = now.Add(v.params.SyncInterval)
	if len(v.entries) < len(v.seeds)/2 {
		// A node that has just started knows few of the listed hosts and asks at each probe.
		v.nextSync = now
	}
	return true
}

// SyncRequest starts a full exchange.
func (v *View) SyncRequest() SyncRequest { return SyncRequest{From: v.self.ID, Buckets: v.buckets} }

// SyncReply answers with the records of the buckets that differ, starting at a random bucket so that repeated exchanges
// cover all of them, up to the bound in bytes but at least one bucket.
func (v *View) SyncReply(r SyncRequest) SyncReply {
	var reply SyncReply
	left := v.params.SyncBytes
	byBucket := v.byBucket()
	first := v.random.IntN(Buckets)
	for i := range Buckets {
		bucket := (first + i) % Buckets
		if v.buckets[bucket] == r.Buckets[bucket] {
			continue
		}
		size := 0
		for _, m := range byBucket[bucket] {
			size += m.size()
		}
		if size > left && reply.Differing != 0 {
			reply.More = true
			continue
		}
		reply.Differing |= 1 << bucket
		reply.Updates = append(reply.Updates, byBucket[bucket]...)
		left -= size
	}
	return reply
}

// FinishSync applies a reply. It returns the records that the other side lacks, and whether something should be passed on
// at once.
func (v *View) FinishSync(now time.Time, r SyncReply) ([]Member, bool) {
	urgent := false
	theirs := make(map[string]Member, len(r.Updates))
	for _, m := range r.Updates {
		theirs[m.ID] = m
		_, known := v.entries[m.ID]
		urgent = v.merge(now, m) || urgent
		if !known {
			// The others know a member that is only new to this node, which may have just started.
			delete(v.spreading, m.ID)
		}
	}
	if r.More {
		v.nextSync = now
	}
	var lacking []Member
	for bucket, members := range v.byBucket() {
		if r.Differing&(1<<bucket) == 0 {
			continue
		}
		for _, m := range members {
			if other, ok := theirs[m.ID]; (!ok && m.State.Present()) || ok && m.supersedes(other) {
				lacking = append(lacking, m)
			}
		}
	}
	return lacking, urgent
}

// byBucket returns all records, the own one included.
func (v *View) byBucket() [Buckets][]Member {
	var out [Buckets][]Member
	add := func(m Member) { out[bucketOf(m.ID)] = append(out[bucketOf(m.ID)], m) }
	add(v.self)
	for _, e := range v.entries {
		add(e.member)
	}
	return out
}
