package limit

import (
	"maps"
	"math"
	"time"
)

const (
	// standbyShare is the share of an endpoint's rate for nodes that can't reach the first owner. Both owners may grant at the same time.
	standbyShare = 0.3
	// minEndpointRate is the lowest rate that is granted. An endpoint that takes no requests at all gets one each four seconds, since
	// only its answers tell when that ends.
	minEndpointRate = 0.25
	// endpointBurst is the time at the endpoint's rate for which unused grants are kept; at least minEndpointBurst of them are. Requests
	// come at random times, and without a reserve a low rate would often have no request to grant.
	endpointBurst    = 150 * time.Millisecond
	minEndpointBurst = 2
	// overdraftTime bounds the overdraft of the first owner for requests that continue a run, as a time at the endpoint's rate; at least
	// one request is allowed. With the bursts of both owners this is below half of what the endpoint takes in four seconds.
	overdraftTime = 250 * time.Millisecond
	// rateHold is the time for which a lower rate holds after a node has last stated it. Answers overtake each other, so nodes may state
	// different rates for a while.
	rateHold = time.Second
	// maxRefusalTime bounds the time after which a node asks again, and with it the time for which it does not learn of a new rate.
	maxRefusalTime = 2 * time.Second
	// minRefusalTime keeps a node from asking many times while one request waits.
	minRefusalTime = 20 * time.Millisecond
	// asksPerGrant is the ratio of asks to grants above which refused nodes are told to wait longer. A ratio of 1 would leave grants
	// unused when asks come unevenly.
	asksPerGrant = 2
	// askMemory is the time constant of the measured rate of asks.
	askMemory = time.Second
	// nodeMemory is the time after its last ask for which a node counts as one that asks. It exceeds maxRefusalTime.
	nodeMemory = 2 * maxRefusalTime
)

// EndpointBudget divides the requests that an endpoint takes among the nodes. The owner of the budget grants each
// request. It is not safe for concurrent use; one task owns it.
type EndpointBudget struct {
	bucket *Bucket
	// rate is the lowest rate that was stated within rateHold, statedAt the last time at which it was stated.
	rate     float64
	statedAt time.Time
	// asks is the exponentially decaying number of asks, as of askedAt.
	asks float64
	// nodes holds the time of the last ask of each node, askedAt the last of them. Nodes that no longer ask are removed at prunedAt.
	nodes             map[string]time.Time
	askedAt, prunedAt time.Time
}

// NewEndpointBudget returns a budget without grants to begin with: an earlier owner may have just given them.
func NewEndpointBudget(now time.Time) *EndpointBudget {
	return &EndpointBudget{
		bucket: NewEmptyBucket(now, minEndpointRate, endpointBurst, minEndpointBurst), rate: math.Inf(1), nodes: map[string]time.Time{},
		askedAt: now, prunedAt: now,
	}
}

// AskedAt returns the time of the last ask.
func (b *EndpointBudget) AskedAt() time.Time { return b.askedAt }

// Take decides on one ask of a node.
func (b *EndpointBudget) Take(now time.Time, node string, a Ask) Grant {
	b.recordAsk(now, node)
	b.recordRate(now, a)
	level := 1.0
	if a.Continues && !a.Standby {
		level -= max(1, b.bucket.rate*overdraftTime.Seconds())
	}
	granted, wait := b.bucket.TakeAbove(now, 1, level)
	if granted {
		return Grant{Granted: true}
	}
	return Grant{RetryAfter: min(maxRefusalTime, max(minRefusalTime, wait, b.turn()))}
}

// turn returns the time between two asks of a node at which all nodes make asksPerGrant asks for each grant; 0 if they make fewer. It
// rises with the asks, so that nodes that seldom ask are not kept from grants that nobody else uses.
func (b *EndpointBudget) turn() time.Duration {
	wanted := asksPerGrant * b.bucket.rate
	excess := min(1, b.asks/askMemory.Seconds()/wanted-1)
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess * float64(len(b.nodes)) / wanted * float64(time.Second))
}

// recordAsk counts a node as one that asks.
func (b *EndpointBudget) recordAsk(now time.Time, node string) {
	b.asks = b.asks*math.Exp(-now.Sub(b.askedAt).Seconds()/askMemory.Seconds()) + 1
	b.nodes[node], b.askedAt = now, now
	if now.Sub(b.prunedAt) > nodeMemory {
		maps.DeleteFunc(b.nodes, func(_ string, at time.Time) bool { return now.Sub(at) > nodeMemory })
		b.prunedAt = now
	}
}

// recordRate applies the rate of an ask.
func (b *EndpointBudget) recordRate(now time.Time, a Ask) {
	rate := max(minEndpointRate, a.Rate)
	if a.Standby {
		rate *= standbyShare
	}
	if rate <= b.rate || now.Sub(b.statedAt) > rateHold {
		b.rate, b.statedAt = rate, now
		b.bucket.SetRate(now, rate)
	}
}
