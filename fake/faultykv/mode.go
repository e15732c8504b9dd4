package faultykv

import "time"

// Mode is the kind of fault that a KV injects.
type Mode int32

// Modes of a KV.
const (
	// None injects no faults.
	None Mode = iota
	// Refuse fails each call without applying it.
	Refuse
	// LoseAnswer applies each write and reports an unknown outcome.
	LoseAnswer
	// LateWrite reports an unknown outcome and applies the write after lateWriteDelay.
	LateWrite
	// Pause applies each write and delays its answer by PauseDuration, beyond every deadline, as in a process that is paused
	// after sending the call. Reads are delayed before they are applied.
	Pause
	// Stall applies each write after PauseDuration, which is longer than the time to live of a lease.
	Stall
	// ModeCount is the number of modes.
	ModeCount
)

// Times of the faults.
const (
	// lateWriteDelay is the time after which LateWrite applies a write.
	lateWriteDelay = 700 * time.Millisecond
	// PauseDuration is the delay of Pause and Stall. It is longer than the time to live of a lease.
	PauseDuration = 9 * time.Second
)
