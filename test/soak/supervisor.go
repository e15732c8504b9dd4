package soak

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/test/harness"
)

const (
	// restartPause is the time from the exit of a node's process to its restart.
	restartPause = 300 * time.Millisecond
	// commandCapacity limits the queued commands of a supervisor; the injector waits while the queue is full.
	commandCapacity = 64
)

// supervisor is the task that owns the process of a node. It starts the process, sends signals to it and restarts it after its
// exit, as the platform does.
type supervisor struct {
	number   int
	node     *harness.EdgeNode
	commands mailbox.Mailbox[supervisorCommand]

	processRuns []processRun
	running     bool
}

func newSupervisor(number int, n *harness.EdgeNode) *supervisor {
	return &supervisor{number: number, node: n, commands: mailbox.New[supervisorCommand](commandCapacity)}
}

// run supervises the process until ctx is done, and returns the records of all processes that it started.
func (s *supervisor) run(ctx context.Context) []processRun {
	s.start()
	var restart, graceExpired <-chan time.Time
	for {
		var exited <-chan error
		if s.running {
			exited = s.node.Exited()
		}
		select {
		case <-ctx.Done():
			return s.processRuns
		case err := <-exited:
			s.recordExit(err)
			restart, graceExpired = time.After(restartPause), nil
		case <-restart:
			s.start()
			restart = nil
		case <-graceExpired:
			s.apply(commandKill)
			graceExpired = nil
		case command := <-s.commands.Receive():
			if s.running && s.apply(command) {
				graceExpired = time.After(grace)
			}
		}
	}
}

func (s *supervisor) currentRun() *processRun { return &s.processRuns[len(s.processRuns)-1] }

func (s *supervisor) start() {
	s.node.Start()
	s.running = true
	s.processRuns = append(s.processRuns, processRun{node: s.number, started: time.Now()})
}

func (s *supervisor) recordExit(err error) {
	s.running = false
	l := s.currentRun()
	l.ended = time.Now()
	if err != nil {
		l.err = err.Error()
	}
}

// apply sends the signal of a command and reports whether the grace period of a planned stop begins.
func (s *supervisor) apply(command supervisorCommand) bool {
	l := s.currentRun()
	switch command {
	case commandKill:
		l.killed = true
		s.node.SendKill()
	case commandTerminate:
		s.node.Terminate()
		if l.terminatedAt.IsZero() {
			l.terminatedAt = time.Now()
			return true
		}
	case commandHangup:
		s.node.HangUp()
	case commandPause:
		s.node.Pause()
	case commandContinue:
		s.node.Continue()
	}
	return false
}
