package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is a process of the system, started with the command of the deploy file.
type node struct {
	name, ip, zone string
	settingsFile   string
	caller, dir    string
	ready, peer    string
	log            *os.File
	cmd            *exec.Cmd
	done           chan struct{}
}

// prefix returns the first three octets of loopback addresses that are free.
func freePrefix() string {
	for {
		p := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp4", p+".1:7499")
		if err == nil {
			_ = l.Close()
			return p
		}
	}
}

// settings are the fields that deploy/settings.json.tmpl fills in.
func (l *lab) newNode(i int, zone string, seeds []string, extra map[string]any) (*node, error) {
	ip := fmt.Sprintf("%s.%d", l.prefix, 10+i)
	n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i), ip: ip, zone: zone, caller: ip + ":8227", dir: ip + ":8224", ready: ip + ":8220", peer: ip + ":7340"}
	settings := map[string]any{
		"node": n.name, "region": "tt-north", "failureDomain": zone,
		"callerAddress": n.caller, "directoryAddress": n.dir, "readinessAddress": n.ready,
		"metricsAddress": ip + ":9464", "peerAddress": n.peer, "seeds": seeds,
		"platformAddress": l.store.address, "firstStart": true, "memoryBytes": 284000000,
		"maxDescriptors": 4100, "processorShare": 0.4, "stopTime": "8s", "addressTtl": "2s",
		"retryRatio": 0.2, "retryAllowance": 109, "logLevel": "info",
	}
	for k, v := range extra {
		settings[k] = v
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	n.settingsFile = filepath.Join(l.dir, n.name+".json")
	if err := os.WriteFile(n.settingsFile, data, 0o600); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(l.dir, n.name+".log")); err != nil {
		return nil, err
	}
	l.nodes = append(l.nodes, n)
	return n, n.start()
}

func (n *node) start() error {
	n.cmd = exec.Command("target/rattanlanding", "entry")
	n.cmd.Env = append(os.Environ(), "RATTANLANDING_BOOT="+n.settingsFile)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	cmd, done := n.cmd, make(chan struct{})
	n.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// running reports whether the process has not ended.
func (n *node) running() bool {
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

func (n *node) stop() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.done
	_ = n.log.Close()
}

// isReady asks the readiness address.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// logLines calls fn for each line of the node's log.
func (n *node) logLines(fn func(string)) {
	f, err := os.Open(n.log.Name())
	if err != nil {
		return
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	s.Buffer(make([]byte, 1<<20), 1<<20)
	for s.Scan() {
		fn(s.Text())
	}
}
