package overload

import (
	"slices"
	"time"
)

const (
	// waveLength is the time within which departures belong to one wave: their runs migrate at the same time.
	waveLength = time.Second
	// reservePeriod is the time for which a wave counts. It covers several of the periods in which fleets replace engines.
	reservePeriod = 10 * time.Second
	// maxReserve bounds the reserve. More memory is worth more to new runs than to the migrations of a rare larger wave.
	maxReserve = 0.25
)

// Reserve is the share of the memory of a service's engines that new long runs leave free for the runs of engines that leave.
type Reserve struct {
	departures []departure
	// share is the share at shareAt. It is kept because a scan asks for it for each waiting request and engine.
	share   float64
	shareAt time.Time
}

// departure is the departure of one engine.
type departure struct {
	at time.Time
	// share is the share of the service's engines.
	share float64
}

// RecordDeparture records that the departure of one of the service's engines became known.
func (r *Reserve) RecordDeparture(now time.Time, engines int) {
	r.expire(now)
	r.shareAt = time.Time{}
	r.departures = append(r.departures, departure{at: now, share: 1 / float64(max(1, engines))})
}

// Share returns the share of the largest wave.
func (r *Reserve) Share(now time.Time) float64 {
	if !r.shareAt.IsZero() && now.Equal(r.shareAt) {
		return r.share
	}
	r.expire(now)
	largest, wave, first := 0.0, 0.0, 0
	for i := range r.departures {
		wave += r.departures[i].share
		for r.departures[i].at.Sub(r.departures[first].at) > waveLength {
			wave -= r.departures[first].share
			first++
		}
		largest = max(largest, wave)
	}
	r.share, r.shareAt = min(maxReserve, largest), now
	return r.share
}

// Clone returns a copy that shares no departures.
func (r *Reserve) Clone() Reserve { return Reserve{departures: slices.Clone(r.departures)} }

func (r *Reserve) expire(now time.Time) {
	r.departures = slices.DeleteFunc(r.departures, func(d departure) bool { return now.Sub(d.at) > reservePeriod })
}
