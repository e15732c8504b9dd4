package soak

// supervisorCommand selects the signal that a supervisor sends to its process.
type supervisorCommand uint8

const (
	commandKill supervisorCommand = iota
	commandTerminate
	commandHangup
	commandPause
	commandContinue
)
