package configuration

import (
	"math/rand/v2"
	"time"
)

// Times and counts of a Distributor.
const (
	// noticeFanout is the number of random peers that a node tells about a new revision. With 5, less than one node in a
	// hundred is left to find it by pulling, and with half of the links stalled less than one in ten. At 15,000 changes a
	// day each node sends one notice a second.
	noticeFanout = 5
	// pullInterval is the mean time between two pulls from a random peer, which find what no notice told. An answer that
	// there is nothing newer is well below 100 bytes, so this costs about 0.4 KB/s.
	pullInterval = 500 * time.Millisecond
	// hurryInterval is the mean time between two pulls while this node knows that it is behind, or while no peer answers,
	// since links may have stalled.
	hurryInterval = 150 * time.Millisecond
	// hurryTime bounds that, for a revision whose only holder has died before anyone pulled it.
	hurryTime = 10 * time.Second
	// pullTimeout bounds one pull; a link that has stalled answers nothing.
	pullTimeout = time.Second
	// silentTime is how long a peer whose pull failed is avoided.
	silentTime = 3 * time.Second
	// isolatedTime is how long no peer answers until a node reads the key-value service itself. If all links of 1,500 nodes
	// failed at once, these were 300 reads a second.
	isolatedTime = 5 * time.Second
	// maxPulls bounds the pulls at once. Pulls over stalled links last until their timeout, so more than one is needed.
	maxPulls = 6
	// startPulls is the number of peers that a starting node asks at once.
	startPulls = 3
	// distributorCapacity bounds the notices that wait; more are dropped, since pulls make up for them.
	distributorCapacity = 64
)

// DistributorOptions configures a Distributor.
type DistributorOptions struct {
	// Self is the address under which peers reach this node.
	Self string
	// Random chooses peers; nil uses a random seed. It is used only by the Distributor's task.
	Random *rand.Rand
}
