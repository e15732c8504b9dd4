package membership

import "time"

// StartSyncIfDue reports whether a full exchange with the sender of a message is due. If so, it records the exchange as
// started.
func (v *View) StartSyncIfDue(now time.Time, m Message) bool {
	if m.Digest == v.digest() || now.Before(v.nextSync) {
		return false
	}
	v.nextSync = now.Add(v.params.SyncInterval)
	if len(v.entries) < len(v.seeds)/2 {
		// A node that has just started has few records, so it starts a full exchange with each probe.
		v.nextSync = now
	}
	return true
}

// SyncRequest returns the request that starts a full exchange.
func (v *View) SyncRequest() SyncRequest { return SyncRequest{From: v.self.ID, Buckets: v.buckets} }

// SyncReply returns the records of the buckets that differ, up to Params.SyncBytes but at least one bucket. It starts at a
// random bucket, so that repeated exchanges cover all buckets.
func (v *View) SyncReply(r SyncRequest) SyncReply {
	var reply SyncReply
	remaining := v.params.SyncBytes
	byBucket := v.recordsByBucket()
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
		if size > remaining && reply.Differing != 0 {
			reply.More = true
			continue
		}
		reply.Differing |= 1 << bucket
		reply.Updates = append(reply.Updates, byBucket[bucket]...)
		remaining -= size
	}
	return reply
}

// FinishSync applies a reply. It returns the records that the sender of the reply does not have, and whether the reply
// contained a change that should be passed on at once.
func (v *View) FinishSync(now time.Time, r SyncReply) ([]Member, bool) {
	urgent := false
	received := make(map[string]Member, len(r.Updates))
	for _, m := range r.Updates {
		received[m.ID] = m
		_, known := v.entries[m.ID]
		urgent = v.merge(now, m) || urgent
		if !known {
			// The member is new only to this node, which may have just started; the others have its record.
			delete(v.pending, m.ID)
		}
	}
	if r.More {
		v.nextSync = now
	}
	var missing []Member
	for bucket, members := range v.recordsByBucket() {
		if r.Differing&(1<<bucket) == 0 {
			continue
		}
		for _, m := range members {
			if other, ok := received[m.ID]; (!ok && m.State.Present()) || ok && m.supersedes(other) {
				missing = append(missing, m)
			}
		}
	}
	return missing, urgent
}

// recordsByBucket returns the records of all members, including the node itself.
func (v *View) recordsByBucket() [Buckets][]Member {
	var out [Buckets][]Member
	add := func(m Member) { out[bucketOf(m.ID)] = append(out[bucketOf(m.ID)], m) }
	add(v.self)
	for _, e := range v.entries {
		add(e.member)
	}
	return out
}
