package harness

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// exitTimeout limits the wait for a killed process to exit.
	exitTimeout = 10 * time.Second
	// logTailBytes is the size of the log excerpt that a failed test prints.
	logTailBytes = 8 << 10
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

// newProcess prepares a process with the given arguments. The process is killed when the test ends.
func newProcess(t testing.TB, name string, args ...string) *Process {
	p := &Process{t: t, name: name, args: args, logPath: filepath.Join(t.TempDir(), "log")}
	t.Cleanup(p.cleanUp)
	return p
}

// Start starts the process. It may be called again after the process has exited.
func (p *Process) Start() {
	p.t.Helper()
	path, err := buildBinary()
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

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	_ = p.process.Kill()
	p.Wait(exitTimeout)
}

// SendKill sends SIGKILL without waiting for the process to exit.
func (p *Process) SendKill() { p.signal(syscall.SIGKILL) }

// Exited returns the channel that receives the process's exit error. The error is sent once, so receive it either here or
// with Wait.
func (p *Process) Exited() <-chan error { return p.exited }

// Pause suspends the process with SIGSTOP until Continue is called.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Continue resumes a suspended process with SIGCONT.
func (p *Process) Continue() { p.signal(syscall.SIGCONT) }

// HangUp sends SIGHUP, on which the process reloads its settings file.
func (p *Process) HangUp() { p.signal(syscall.SIGHUP) }

// Terminate sends SIGTERM, on which the process shuts down gracefully.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// signal sends a signal. It does nothing if the process has already exited.
func (p *Process) signal(s os.Signal) {
	if err := p.process.Signal(s); !errors.Is(err, os.ErrProcessDone) {
		assert.NilError(p.t, err)
	}
}

// Wait returns the process's exit error. It fails the test if the process does not exit within the limit.
func (p *Process) Wait(limit time.Duration) error {
	p.t.Helper()
	select {
	case err := <-p.exited:
		return err
	case <-time.After(limit):
		p.t.Fatalf("node %s did not exit within %v", p.name, limit)
		return nil
	}
}

// Log returns the output of the process, or an empty string if the log file cannot be read.
func (p *Process) Log() string {
	data, _ := os.ReadFile(p.logPath)
	return string(data)
}

// cleanUp kills the process and prints the end of its log if the test failed.
func (p *Process) cleanUp() {
	if p.process != nil {
		_ = p.process.Kill()
		p.Wait(exitTimeout)
	}
	if p.t.Failed() {
		log := p.Log()
		p.t.Logf("log of node %s:\n%s", p.name, log[max(0, len(log)-logTailBytes):])
	}
}

// PeakMemory returns the largest amount of memory in bytes that the process has held.
func (p *Process) PeakMemory() int64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.process.Pid))
	assert.NilError(p.t, err)
	for line := range strings.Lines(string(status)) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10
		}
	}
	p.t.Fatal("the status of the process has no peak memory")
	return 0
}
