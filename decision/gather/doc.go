// Package gather aggregates the load of many nodes, so that each node receives the sum of the others without connecting to all
// of them.
//
// In each data centre two nodes are relays. The nodes report their load to the relays of their data centre. The relays send
// the sum of their data centre to the relays of the other data centres, and to each node of their own the sum of all other
// nodes, which is the node's others' load. The number of messages grows linearly with the number of nodes, not with its square.
// An update holds the loads that have changed, and is sent without delay when a prompt was placed or computed.
//
// Both relays receive the reports of their data centre, but only the primary relay sends updates as long as it is heard. The
// other one sends them to all nodes once the primary relay is silent, and before that to the nodes that report that they do
// not hear the primary relay.
package gather

import "time"

// RelaysPerDataCentre is the number of relays in each data centre; with two, one can fail without a gap in the reports.
const RelaysPerDataCentre = 2

// reportExpiry is the time after which the loads of a silent sender no longer count.
const reportExpiry = 2 * time.Second

// RelaySilence is the time after which a silent relay is replaced by the other relay of its data centre.
const RelaySilence = 400 * time.Millisecond
