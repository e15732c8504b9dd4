package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Files of the deployment, relative to the root of the repository.
const (
	program  = "target/azuredyked"
	template = "deploy/edge.yaml.tmpl"
)

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 300 * time.Millisecond

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z.0-9]+)(\|json)?\}\}`)

// node is one machine of the system: a process with the command and the settings template of the deploy file.
type node struct {
	site               *site
	name, zone         string
	callers, readiness string
	settings           string

	mu sync.Mutex
	// process is nil while the process does not run.
	process      *exec.Cmd
	terminatedAt time.Time
	closing      bool
	ended        chan struct{}
}

// addNode writes the settings of a node and starts it.
func (s *site) addNode(name, zone string) (*node, error) {
	n := &node{site: s, name: name, zone: zone}
	addresses := make([]string, 4)
	for i := range addresses {
		// The kernel gives each free port once as long as all listeners are open.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses[i] = l.Addr().String()
	}
	n.callers, n.readiness = addresses[0], addresses[1]
	_, metricsPort, _ := net.SplitHostPort(addresses[2])
	_, peersPort, _ := net.SplitHostPort(addresses[3])
	values := map[string]any{
		"nodeName": name, "zone": zone, "region": "region-1", "ip": "127.0.0.1", "listen.frontend": n.callers, "listen.readiness": n.readiness,
		"internalPorts.0": json.Number(metricsPort), "internalPorts.1": json.Number(peersPort), "platform.address": s.store.Addr().String(),
		"limits.memoryMb": 284, "limits.cpuShare": 0.4, "limits.cores": 1, "bounds.revokeMs": 5000, "bounds.retryBudgetRatio": 0.2,
		"bounds.retryAllowance": 54, "bounds.budgetWindowS": 10, "bounds.coldOverage": 1.5, "bounds.coldSlack": 5, "bounds.graceS": 8,
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	var missing error
	filled := placeholder.ReplaceAllStringFunc(string(text), func(field string) string {
		parts := placeholder.FindStringSubmatch(field)
		value, ok := values[parts[1]]
		if !ok {
			missing = fmt.Errorf("the template has the unknown field %s", parts[1])
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		data, _ := json.Marshal(value)
		return string(data)
	})
	if missing != nil {
		return nil, missing
	}
	n.settings = filepath.Join(s.folder, name+".yaml")
	if err := os.WriteFile(n.settings, []byte(filled), 0o600); err != nil {
		return nil, err
	}
	s.nodes = append(s.nodes, n)
	return n, nil
}

// start starts the process. The platform starts it again whenever it ends.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	output, err := os.OpenFile(filepath.Join(n.site.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(program, "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "AZUREDYKE_BOOT=" + n.settings}
	cmd.Stdout, cmd.Stderr = output, output
	// The process ends with this one, also if this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.process, n.terminatedAt, n.ended = cmd, time.Time{}, make(chan struct{})
	n.site.log.add("%s starts", n.name)
	go n.await(cmd, n.ended)
	return nil
}

// await waits for the end of a process and starts the next one.
func (n *node) await(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	n.mu.Lock()
	n.process = nil
	closing := n.closing
	n.mu.Unlock()
	close(ended)
	if closing {
		return
	}
	n.site.log.add("%s ended: %v", n.name, err)
	time.Sleep(restartDelay)
	n.mu.Lock()
	closing = n.closing
	n.mu.Unlock()
	if !closing {
		if err := n.start(); err != nil {
			n.site.log.add("%s could not start: %v", n.name, err)
		}
	}
}

// terminate sends SIGTERM, and SIGKILL after the grace period.
func (n *node) terminate(grace time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	n.site.log.add("%s gets SIGTERM", n.name)
	n.terminatedAt = time.Now()
	_ = n.process.Process.Signal(syscall.SIGTERM)
	process, ended := n.process.Process, n.ended
	time.AfterFunc(grace, func() {
		select {
		case <-ended:
		default:
			n.site.log.add("%s gets SIGKILL", n.name)
			_ = process.Kill()
		}
	})
}

// stoppingSince returns the time of the SIGTERM of the present process; zero if it got none or does not run.
func (n *node) stoppingSince() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.terminatedAt
}

// kill ends the process for good.
func (n *node) kill() {
	n.mu.Lock()
	n.closing = true
	process, ended := n.process, n.ended
	n.mu.Unlock()
	if process != nil {
		_ = process.Process.Kill()
		<-ended
	}
}

// ready asks the readiness address once, as the platform does.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + n.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// startNodes starts nodes and waits until they are ready and have been in touch for contactTime.
func (s *site) startNodes(zones ...string) error {
	for i, zone := range zones {
		n, err := s.addNode(fmt.Sprintf("edge-%s-%d", zone, i+1), zone)
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	limit := time.Now().Add(readyTimeout)
	for _, n := range s.nodes {
		for !n.ready() {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready: %s", n.name, n.lastLines())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(contactTime)
	s.log.add("all nodes are ready and in touch")
	return nil
}

// lastLines returns the end of the node's log.
func (n *node) lastLines() string {
	data, _ := os.ReadFile(filepath.Join(n.site.folder, n.name+".log"))
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}
