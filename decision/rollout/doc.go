// Package rollout decides how the traffic of a service moves to a new version of its endpoints, or back. It has no I/O and no
// clock: callers pass the time and the counts of all nodes, and get the share of the new version and a verdict with its reason.
package rollout
