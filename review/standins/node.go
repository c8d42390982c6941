package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Ports of a node; each node has a loopback address of its own.
const (
	portCallers   = 8227
	portReady     = 8220
	portDirectory = 8224
	portMetrics   = 9464
	portPeers     = 7340
	portStore     = 8223
)

// freePrefix returns three octets of loopback addresses that nobody uses.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.1:%d", prefix, portStore))
		if err == nil {
			_ = l.Close()
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// node is a process of the system.
type node struct {
	ip       string
	settings string
	dir      string
	root     string
	command  *exec.Cmd
}

// newNode writes the settings of a node, as the platform fills in deploy/settings.json.tmpl.
func newNode(root, dir, prefix string, i, nodes int) (*node, error) {
	n := &node{ip: fmt.Sprintf("%s.%d", prefix, 10+i), dir: dir, root: root}
	at := func(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }
	var seeds []string
	for k := range min(nodes, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", prefix, 10+k, 8229))
	}
	zones := []string{"port-spain", "arima", "chaguanas"}
	data, err := json.MarshalIndent(map[string]any{
		"node": fmt.Sprintf("edge-%d", i+1), "region": "tt-north", "failureDomain": zones[i%3],
		"callerAddress": at(portCallers), "directoryAddress": at(portDirectory), "readinessAddress": at(portReady),
		"metricsAddress": at(portMetrics), "peerAddress": at(portPeers), "seeds": seeds,
		"platformAddress": fmt.Sprintf("%s.1:%d", prefix, portStore), "firstStart": true,
		"memoryBytes": 284000000, "processorShare": 0.4, "stopTime": "8s", "addressTtl": "2s",
		"retryRatio": 0.2, "retryAllowance": 109, "logLevel": "info",
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(dir, fmt.Sprintf("node-%d.json", i+1))
	return n, os.WriteFile(n.settings, data, 0o600)
}

// start starts the process with the command of the deploy file. The system starts for the first
// time only once.
func (n *node) start() error {
	if n.command != nil {
		settings, err := os.ReadFile(n.settings)
		if err == nil {
			err = os.WriteFile(n.settings, bytes.Replace(settings, []byte(`"firstStart": true`), []byte(`"firstStart": false`), 1), 0o600)
		}
		if err != nil {
			return err
		}
	}
	log, err := os.OpenFile(strings.TrimSuffix(n.settings, ".json")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command("target/rattanlanding", "entry")
	n.command.Dir = n.root
	n.command.Env = append(os.Environ(), "RATTANLANDING_BOOT="+n.settings)
	n.command.Stdout, n.command.Stderr = log, log
	return n.command.Start()
}

// kill ends the process.
func (n *node) kill() {
	if n.command != nil && n.command.Process != nil {
		_ = n.command.Process.Kill()
		_ = n.command.Wait()
	}
}

func (n *node) callers() string { return fmt.Sprintf("%s:%d", n.ip, portCallers) }

// waitReady waits until the node answers its readiness check with 200.
func (n *node) waitReady(until time.Time) error {
	for time.Now().Before(until) {
		if response, err := http.Get(fmt.Sprintf("http://%s:%d/api/readyz", n.ip, portReady)); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("node %s isn't ready", n.ip)
}
