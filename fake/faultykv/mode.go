package faultykv

import "time"

// Mode is what a KV does to calls.
type Mode int32

// Modes of a KV.
const (
	// None passes each call on.
	None Mode = iota
	// Refuse fails each call without effect.
	Refuse
	// LoseAnswer applies each write and loses its answer.
	LoseAnswer
	// LateWrite reports an unknown outcome and applies the write later.
	LateWrite
	// Pause applies each call and holds its answer back beyond every deadline, as a paused process would see it.
	Pause
	// Stall applies each write after a pause that is longer than a lease.
	Stall
	// Modes is the number of modes.
	Modes
)

// Times of the faults.
const (
	// lateBy is how much later a write of LateWrite is applied.
	lateBy = 700 * time.Millisecond
	// PauseFor is how long an answer is held back; it is longer than a lease.
	PauseFor = 9 * time.Second
)
