package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

const (
	templatePath = "deploy/edge.yaml.tmpl"
	// readyTimeout bounds the wait until a node is ready, exitTimeout the wait for the end of a killed one.
	readyTimeout = 15 * time.Second
	exitTimeout  = 5 * time.Second
)

// bounds are the bounds of the site gdv-central that the template of the settings uses.
var bounds = map[string]string{
	"bounds.revokeMs": "5000", "bounds.retryBudgetRatio": "0.2", "bounds.retryAllowance": "56", "bounds.budgetWindowS": "10",
	"bounds.coldOverage": "1.5", "bounds.coldSlack": "5", "bounds.graceS": "8",
	"limits.memoryMb": "134", "limits.cpuShare": "0.4", "limits.cores": "1",
	"contracts": `["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]`,
}

var (
	// unusedSection is a section of the template whose field the site does not have.
	unusedSection = regexp.MustCompile(`(?s)\{\{#bounds\.exposureShare\}\}.*\{\{/bounds\.exposureShare\}\}\n`)
	placeholder   = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)
)

// node is one process of the system.
type node struct {
	name               string
	callers, readiness string
	settings, log      string
	cmd                *exec.Cmd
	exited             chan struct{}
}

// newNode writes the settings file of a node as the platform does.
func newNode(dir, name, zone, store string) (*node, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	n := &node{
		name: name, callers: loopback(ports[0]), readiness: loopback(ports[1]),
		settings: filepath.Join(dir, name+".yaml"), log: filepath.Join(dir, name+".log"),
	}
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, err
	}
	fields := map[string]string{
		"nodeName": name, "zone": zone, "region": "andino", "ip": "127.0.0.1", "listen.frontend": n.callers, "listen.readiness": n.readiness,
		"platform.address": store, "internalPorts.0": fmt.Sprint(ports[2]), "internalPorts.1": fmt.Sprint(ports[3]),
	}
	missing := ""
	text := placeholder.ReplaceAllStringFunc(unusedSection.ReplaceAllString(string(template), ""), func(p string) string {
		parts := placeholder.FindStringSubmatch(p)
		if value, ok := bounds[parts[1]]; ok {
			return value
		}
		value, ok := fields[parts[1]]
		if !ok {
			missing = parts[1]
		}
		if parts[2] != "" {
			return string(encode(value))
		}
		return value
	})
	if missing != "" || strings.Contains(text, "{{") {
		return nil, fmt.Errorf("the template of the settings has the unknown field %q", missing)
	}
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start(binary string) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	exited := make(chan struct{})
	n.exited = exited
	go func() {
		_ = n.cmd.Wait()
		close(exited)
	}()
	return nil
}

// awaitReady waits until the node answers its readiness probe with 200.
func (n *node) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		answer, err := client.Get("http://" + n.readiness + "/readyz")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready within %v", n.name, readyTimeout)
}

// kill ends the process.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	select {
	case <-n.exited:
	case <-time.After(exitTimeout):
	}
}
