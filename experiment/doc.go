// Package experiment generates open-loop load, measures what callers see, and compares placement policies on the same
// seeds with in-process nodes and stand-ins over real sockets.
//
// All times of a request count from its scheduled arrival, so a generator that falls behind does not hide delays
// (coordinated omission).
package experiment
