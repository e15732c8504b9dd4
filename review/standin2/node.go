package main

import (
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// binary is the program that the build of the deploy file makes, seen from the root of the repository.
const binary = "target/azuredyked"

// node is one node process.
type node struct {
	id                                 string
	callers, readiness, metrics, peers string
	settings, logPath                  string
	record                             *record
	cmd                                *exec.Cmd
	exited                             chan struct{}
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.cmd = exec.Command(binary, "edge")
	n.cmd.Env = append(os.Environ(), "AZUREDYKE_BOOT="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(n.cmd, n.exited)
	n.record.log("node %s starts, callers at %s", n.id, n.callers)
	return nil
}

// kill ends the process at once.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.exited
}

// ready asks the node's readiness address as the platform does.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// logTail returns the end of the node's log.
func (n *node) logTail() string {
	data, _ := os.ReadFile(n.logPath)
	return string(data[max(0, len(data)-2000):])
}
