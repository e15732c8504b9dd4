// Package gather adds up what many nodes have in flight, so that each learns the sum of the others without talking to all of
// them.
//
// In each data centre two nodes are relays. Nodes report to the relays of their data centre, relays tell those of the other
// data centres their sum, and tell each node the sum of all others. The messages grow with the number of nodes, not with
// its square. They hold what has changed, and go out at once when a prompt was placed or computed.
package gather

import "time"

// RelaysPerDataCentre lets one relay fail without a gap.
const RelaysPerDataCentre = 2

// silence is how long a report counts.
const silence = 2 * time.Second

// RelaySilence is how long a relay may be silent before the second one of its data centre counts in its place.
const RelaySilence = 400 * time.Millisecond
