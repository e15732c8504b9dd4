package soak

import "time"

// life is one process of a node from its start to its end.
type life struct {
	node           int
	started, ended time.Time
	// termAt is when the process was asked to stop; zero when it was not.
	termAt time.Time
	// killed is set when the process was killed, or had not ended by the end of its grace.
	killed bool
	// err is the error with which it ended.
	err string
}

// ownEnd reports whether the process ended although nobody had asked it to.
func (l life) ownEnd() bool { return !l.ended.IsZero() && !l.killed && l.termAt.IsZero() }
