package rollout

import (
	"cmp"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"
)

// endpointShards is the number of shards of TallyEntry.ShardResponses. It bounds the encoded size.
const endpointShards = 16

// TallyEntry holds the counts of one group on one route.
type TallyEntry struct {
	Group Group  `cbor:"1,keyasint"`
	Route string `cbor:"2,keyasint"`
	// Sends is the number of requests that were sent, Answers the number of those whose outcome is known, Failures the number of
	// failures among them.
	Sends    int64 `cbor:"3,keyasint,omitempty"`
	Answers  int64 `cbor:"4,keyasint,omitempty"`
	Failures int64 `cbor:"5,keyasint,omitempty"`
	// FirstEvents and Intervals count answers by duration, in bins of a fixed geometric width without the zeros at the end.
	FirstEvents []int64 `cbor:"6,keyasint,omitempty"`
	Intervals   []int64 `cbor:"7,keyasint,omitempty"`
	// Untimed is the number of responses whose time is not compared: they ended without a first event, or the endpoint was cold.
	Untimed int64 `cbor:"8,keyasint,omitempty"`
	// ShardResponses and ShardFailures count the responded requests of the target and the failures by shard. Endpoints are assigned to
	// shards by a hash, so that a fault of few endpoints is seen in few shards.
	ShardResponses []int64 `cbor:"9,keyasint,omitempty"`
	ShardFailures  []int64 `cbor:"10,keyasint,omitempty"`
	// Unevaluated is the number of sent requests whose outcome says nothing about the version and that have not responded.
	Unevaluated int64 `cbor:"11,keyasint,omitempty"`
}

// compare orders entries by group and route.
func (e TallyEntry) compare(o TallyEntry) int {
	return cmp.Or(cmp.Compare(e.Group, o.Group), strings.Compare(e.Route, o.Route))
}

// responded returns the number of requests that have had a first event or have ended without one.
func (e *TallyEntry) responded() int64 { return sumOf(e.FirstEvents) + e.Untimed }

// recordResponse counts that a request has had its first event or has ended without one.
func (e *TallyEntry) recordResponse(s Sample) {
	if s.FirstEvent > 0 && !s.Cold {
		e.FirstEvents = increment(e.FirstEvents, durationBin(s.FirstEvent))
	} else {
		e.Untimed++
	}
	if e.Group == TargetGroup {
		e.ShardResponses = increment(e.ShardResponses, shardOf(s.Endpoint))
	}
}

// recordInterval counts the time between events.
func (e *TallyEntry) recordInterval(s Sample) {
	if s.Interval > 0 && !s.Cold {
		e.Intervals = increment(e.Intervals, durationBin(s.Interval))
	}
}

// recordFailure counts a failure at an endpoint.
func (e *TallyEntry) recordFailure(endpoint string) {
	e.Failures++
	if e.Group == TargetGroup {
		e.ShardFailures = increment(e.ShardFailures, shardOf(endpoint))
	}
}

// shardOf returns the shard of an endpoint.
func shardOf(endpoint string) int { return int(xxh3.HashString(endpoint) % endpointShards) }

// add adds the counts of another entry.
func (e *TallyEntry) add(o *TallyEntry) {
	e.Sends += o.Sends
	e.Answers += o.Answers
	e.Failures += o.Failures
	e.Untimed += o.Untimed
	e.Unevaluated += o.Unevaluated
	e.FirstEvents = addCounts(e.FirstEvents, o.FirstEvents)
	e.Intervals = addCounts(e.Intervals, o.Intervals)
	e.ShardResponses = addCounts(e.ShardResponses, o.ShardResponses)
	e.ShardFailures = addCounts(e.ShardFailures, o.ShardFailures)
}

// keepLarger keeps the larger of each pair of counts.
func (e *TallyEntry) keepLarger(o *TallyEntry) {
	e.Sends = max(e.Sends, o.Sends)
	e.Answers = max(e.Answers, o.Answers)
	e.Failures = max(e.Failures, o.Failures)
	e.Untimed = max(e.Untimed, o.Untimed)
	e.Unevaluated = max(e.Unevaluated, o.Unevaluated)
	e.FirstEvents = maxCounts(e.FirstEvents, o.FirstEvents)
	e.Intervals = maxCounts(e.Intervals, o.Intervals)
	e.ShardResponses = maxCounts(e.ShardResponses, o.ShardResponses)
	e.ShardFailures = maxCounts(e.ShardFailures, o.ShardFailures)
}

// clone returns a copy that shares no memory.
func (e *TallyEntry) clone() TallyEntry {
	c := *e
	c.FirstEvents = slices.Clone(e.FirstEvents)
	c.Intervals = slices.Clone(e.Intervals)
	c.ShardResponses = slices.Clone(e.ShardResponses)
	c.ShardFailures = slices.Clone(e.ShardFailures)
	return c
}

// shard returns the outcomes of a shard.
func (e *TallyEntry) shard(i int) outcomeCounts {
	return outcomeCounts{all: float64(countAt(e.ShardResponses, i)), bad: float64(countAt(e.ShardFailures, i))}
}
