package configuration

import (
	"math/rand/v2"
	"time"
)

// Times and counts of a Distributor.
const (
	// noticeFanout is the number of random peers that a node notifies of a new revision. With 5, less than 1% of the nodes
	// get no notice and find the revision by pulling; with half of the links stalled, less than 10%. At 15,000 changes a day
	// each node sends one notice a second.
	noticeFanout = 5
	// pullInterval is the mean time between two pulls from a random peer, which find revisions whose notices were lost. An
	// answer without a newer revision is well below 100 bytes, so the cost is about 0.4 KB/s.
	pullInterval = 500 * time.Millisecond
	// fastPullInterval is the mean time between two pulls while this node is behind a revision that peers have reported, or
	// while no peer answers, since links may have stalled.
	fastPullInterval = 150 * time.Millisecond
	// maxFastPullTime limits the fast pulls for one revision, because the only node with that revision may have crashed
	// before any peer pulled it.
	maxFastPullTime = 10 * time.Second
	// pullTimeout limits one pull, since a stalled link returns no error.
	pullTimeout = time.Second
	// failedPeerAvoidance is how long a peer is avoided after a failed pull from it.
	failedPeerAvoidance = 3 * time.Second
	// isolationTimeout is the time without an answer after which a node reads the key-value service itself. If all links of
	// 1,500 nodes failed at once, the service would get 300 reads a second.
	isolationTimeout = 5 * time.Second
	// maxPulls limits the pulls in flight. More than one is needed, since pulls over stalled links last until their timeout.
	maxPulls = 6
	// initialPulls is the number of peers that a starting node pulls from at once.
	initialPulls = 3
	// distributorCapacity limits the queued notices. Further notices are dropped; pulls find the revisions instead.
	distributorCapacity = 64
)

// DistributorOptions configures a Distributor.
type DistributorOptions struct {
	// SelfAddress is the address under which peers reach this node.
	SelfAddress string
	// Random is the source of random choices; nil selects a random seed. Only the task of the Distributor uses it.
	Random *rand.Rand
}
