// Package membership maintains a node's view of the members of the fleet. It merges the records that members exchange,
// selects the members to probe, and suspects and removes members that do not answer. It has no I/O, no clock and no
// encoding.
//
// Only the member itself writes its own record, and it raises the incarnation with each change. Other members may only
// advance the state of an incarnation (alive, suspect, left, removed); the member refutes such a state with a higher
// incarnation. The result of merging is therefore independent of the order in which changes arrive, with one exception:
// a removal that another member reports first counts as a suspicion, so that an isolated member cannot remove members
// that answer.
package membership
