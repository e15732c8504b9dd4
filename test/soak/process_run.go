package soak

import "time"

// processRun records one process of a node from its start to its exit.
type processRun struct {
	node           int
	started, ended time.Time
	// terminatedAt is when SIGTERM was first sent; zero if it was not sent.
	terminatedAt time.Time
	// killed is set if SIGKILL was sent, by a fault or because the process had not exited by the end of the grace period.
	killed bool
	// err holds the exit error; empty if the process exited with status 0.
	err string
}

// exitedUnasked reports whether the process exited although neither SIGTERM nor SIGKILL had been sent.
func (p processRun) exitedUnasked() bool {
	return !p.ended.IsZero() && !p.killed && p.terminatedAt.IsZero()
}
