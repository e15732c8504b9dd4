// Package membership decides who is a member of the fleet: it merges what members say about each other, chooses whom to
// probe, and suspects and removes members that do not answer. It has no I/O, no clock and no encoding.
//
// Each member is the only author of its own record and raises its incarnation with each change. Others may only lower the
// state of an incarnation (alive, suspect, left, removed), which the member refutes with a higher incarnation. Merging is
// therefore independent of the order in which changes arrive, with one exception: a removal reported by others counts as
// a suspicion first, so that a member that was cut off cannot remove members that answer.
package membership
