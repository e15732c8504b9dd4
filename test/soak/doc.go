// Package soak runs nodes as processes against fakes of the users' platform, injects faults by a seeded plan, and checks the
// promises against the recorded histories of callers and endpoints.
package soak
