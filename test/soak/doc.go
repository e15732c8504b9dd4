// Package soak runs nodes as processes against the stand-ins of the users' platform, brings faults about by a seeded plan, and
// checks from what callers and endpoints have seen that the promises held.
package soak
