package harness

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// exitTimeout bounds the wait for the end of a process that was killed.
	exitTimeout = 10 * time.Second
	// logTail is how much of a process's log a failed test shows.
	logTail = 8 << 10
)

// Process is one azuredyked process.
type Process struct {
	t       testing.TB
	name    string
	args    []string
	logPath string
	process *os.Process
	exited  chan error
}

// newProcess prepares a process with arguments; it ends with the test.
func newProcess(t testing.TB, name string, args ...string) *Process {
	p := &Process{t: t, name: name, args: args, logPath: filepath.Join(t.TempDir(), "log")}
	t.Cleanup(p.cleanUp)
	return p
}

// Start starts the process. It may be called again after the process has ended.
func (p *Process) Start() {
	p.t.Helper()
	path, err := binary()
	assert.NilError(p.t, err)
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(p.t, err)
	cmd := exec.Command(path, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	err = cmd.Start()
	_ = log.Close()
	assert.NilError(p.t, err)
	exited := make(chan error, 1)
	p.process, p.exited = cmd.Process, exited
	go func() {
		exited <- cmd.Wait()
		close(exited)
	}()
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.process.Kill()
	p.Wait(exitTimeout)
}

// SendKill ends the process at once and does not wait for its end.
func (p *Process) SendKill() { p.signal(syscall.SIGKILL) }

// Exited returns the channel that receives the error with which the process ends. A caller that receives from it takes the
// place of Wait.
func (p *Process) Exited() <-chan error { return p.exited }

// Pause stops the process without ending it, until Continue.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Continue lets a paused process run again.
func (p *Process) Continue() { p.signal(syscall.SIGCONT) }

// HangUp says that the settings file has changed.
func (p *Process) HangUp() { p.signal(syscall.SIGHUP) }

// Terminate asks the process to stop gracefully.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// signal sends a signal. A process that has ended meanwhile gets none.
func (p *Process) signal(s os.Signal) {
	if err := p.process.Signal(s); !errors.Is(err, os.ErrProcessDone) {
		assert.NilError(p.t, err)
	}
}

// Wait returns the error with which the process ended. It fails the test when the process does not end in time.
func (p *Process) Wait(limit time.Duration) error {
	p.t.Helper()
	select {
	case err := <-p.exited:
		return err
	case <-time.After(limit):
		p.t.Fatalf("node %s did not end within %v", p.name, limit)
		return nil
	}
}

// Log returns what the process wrote.
func (p *Process) Log() string {
	data, _ := os.ReadFile(p.logPath)
	return string(data)
}

// cleanUp ends the process and shows its log when the test failed.
func (p *Process) cleanUp() {
	if p.process != nil {
		_ = p.process.Kill()
		p.Wait(exitTimeout)
	}
	if p.t.Failed() {
		log := p.Log()
		p.t.Logf("log of node %s:\n%s", p.name, log[max(0, len(log)-logTail):])
	}
}
