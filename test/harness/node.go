package harness

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/settings"
)

const (
	// exitTimeout bounds the wait for the end of a process that was killed.
	exitTimeout = 10 * time.Second
	// logTail is how much of a node's log a failed test shows.
	logTail = 8 << 10
)

// Node is one azuredyked process.
type Node struct {
	t testing.TB
	// Settings are those in the file that the process reads.
	Settings settings.Settings
	// Peer is the path of the other nodes to this one.
	Peer *Link

	path    string
	logPath string
	process *os.Process
	exited  chan error
}

// newNode writes the settings of a node. Its addresses are free ones.
func newNode(t testing.TB, s settings.Settings) *Node {
	t.Helper()
	s.Listen = settings.Listen{
		Callers: freeAddress(t), Operators: freeAddress(t), Metrics: freeAddress(t), Peers: freeAddress(t),
	}
	n := &Node{t: t, Peer: newLink(t, "peer "+s.Node.ID, s.Listen.Peers)}
	s.Listen.PeersAdvertised = n.Peer.Address()
	n.Settings = s
	dir := t.TempDir()
	n.path, n.logPath = filepath.Join(dir, "settings.yaml"), filepath.Join(dir, "log")
	data, err := yaml.Marshal(s)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(n.path, data, 0o600))
	t.Cleanup(n.cleanUp)
	return n
}

// Start starts the process. It may be called again after the process has ended.
func (n *Node) Start() {
	n.t.Helper()
	path, err := binary()
	assert.NilError(n.t, err)
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(n.t, err)
	cmd := exec.Command(path, "serve", "--settings", n.path)
	cmd.Stdout, cmd.Stderr = log, log
	err = cmd.Start()
	_ = log.Close()
	assert.NilError(n.t, err)
	exited := make(chan error, 1)
	n.process, n.exited = cmd.Process, exited
	go func() {
		exited <- cmd.Wait()
		close(exited)
	}()
}

// Kill ends the process at once.
func (n *Node) Kill() {
	_ = n.process.Kill()
	n.Wait(exitTimeout)
}

// Pause stops the process without ending it, until Continue.
func (n *Node) Pause() { n.signal(syscall.SIGSTOP) }

// Continue lets a paused process run again.
func (n *Node) Continue() { n.signal(syscall.SIGCONT) }

// Terminate asks the process to stop gracefully.
func (n *Node) Terminate() { n.signal(syscall.SIGTERM) }

func (n *Node) signal(s os.Signal) { assert.NilError(n.t, n.process.Signal(s)) }

// Wait returns the error with which the process ended. It fails the test when the process does not end in time.
func (n *Node) Wait(limit time.Duration) error {
	n.t.Helper()
	select {
	case err := <-n.exited:
		return err
	case <-time.After(limit):
		n.t.Fatalf("node %s did not end within %v", n.Settings.Node.ID, limit)
		return nil
	}
}

// Ready reports whether the node takes requests of callers.
func (n *Node) Ready() bool { return n.answers("/readyz") }

// Alive reports whether the process answers.
func (n *Node) Alive() bool { return n.answers("/healthz") }

func (n *Node) answers(path string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.Settings.Listen.Metrics + path)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Log returns what the process wrote.
func (n *Node) Log() string {
	data, _ := os.ReadFile(n.logPath)
	return string(data)
}

// cleanUp ends the process and shows its log when the test failed.
func (n *Node) cleanUp() {
	if n.process != nil {
		_ = n.process.Kill()
		n.Wait(exitTimeout)
	}
	if n.t.Failed() {
		log := n.Log()
		n.t.Logf("log of node %s:\n%s", n.Settings.Node.ID, log[max(0, len(log)-logTail):])
	}
}
