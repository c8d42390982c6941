package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rattanlanding/rattanlanding/entry"
)

// restartDelay is the time after which a node that ended is started again.
const restartDelay = 300 * time.Millisecond

// node is one process of the system, started again whenever it ends.
type node struct {
	settings entry.Settings
	program  string
	file     string
	output   *os.File
	// store is the node's link to the platform's store.
	store *link

	mu      sync.Mutex
	process *os.Process
	ended   bool
	// troubled is the end of the newest trouble of the process itself; its callers
	// are promised nothing within it.
	troubled time.Time
	// starts counts the processes, asked the signals to end one.
	starts, asked int
	done          chan struct{}
}

// newNode writes the settings of node i and starts it.
func newNode(dir, program, base, storeAddress string, i int) (*node, error) {
	ip := fmt.Sprintf("%s.%d", base, 10+i)
	store, err := newLink(ip+":7500", storeAddress)
	if err != nil {
		return nil, err
	}
	s := entry.DefaultSettings()
	s.Node, s.Region, s.FailureDomain = fmt.Sprint("node-", i), "r1", fmt.Sprint("z", i%3)
	s.CallerAddress, s.DirectoryAddress, s.ReadinessAddress, s.PeerAddress = ip+":7501", ip+":7502", ip+":7503", ip+":7504"
	s.Seeds = []string{base + ".10:7504", base + ".11:7504", base + ".12:7504"}
	s.PlatformAddress = store.address()
	s.FirstStart = true
	s.StopTime = stopTime
	n := &node{settings: s, program: program, file: filepath.Join(dir, s.Node+".json"), store: store, done: make(chan struct{})}
	if err := n.write(); err != nil {
		return nil, err
	}
	if n.output, err = os.Create(filepath.Join(dir, s.Node+".log")); err != nil {
		return nil, err
	}
	go n.run()
	return n, nil
}

// stopTime is the time that a node has to stop.
const stopTime = 4 * time.Second

// write writes the settings file.
func (n *node) write() error {
	s := n.settings
	data, err := json.Marshal(map[string]any{
		"node": s.Node, "region": s.Region, "failureDomain": s.FailureDomain, "callerAddress": s.CallerAddress,
		"directoryAddress": s.DirectoryAddress, "readinessAddress": s.ReadinessAddress, "peerAddress": s.PeerAddress,
		"seeds": s.Seeds, "platformAddress": s.PlatformAddress, "firstStart": s.FirstStart,
		"stopTime": s.StopTime.String(), "addressTtl": s.AddressTTL.String(),
		"retryRatio": 0.2, "retryAllowance": 60, "logLevel": "info",
	})
	if err != nil {
		return err
	}
	return os.WriteFile(n.file, data, 0o600)
}

// run starts the process again and again until the node is closed.
func (n *node) run() {
	defer close(n.done)
	for {
		cmd := exec.Command(n.program, "entry", "--config", n.file)
		cmd.Stdout, cmd.Stderr = n.output, n.output
		n.mu.Lock()
		if n.ended {
			n.mu.Unlock()
			return
		}
		err := cmd.Start()
		if err != nil {
			n.ended = true
			n.mu.Unlock()
			_, _ = fmt.Fprintln(n.output, "soak: not started:", err)
			return
		}
		n.process = cmd.Process
		n.starts++
		n.mu.Unlock()
		// How it ended follows from the fault.
		_ = cmd.Wait()
		n.trouble(settleTime)
		time.Sleep(restartDelay)
	}
}

// settleTime is how long after a trouble of its process a node is promised nothing.
const settleTime = 3 * time.Second

// trouble notes that the node is promised nothing for a while.
func (n *node) trouble(lasts time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until := time.Now().Add(lasts); until.After(n.troubled) {
		n.troubled = until
	}
}

// calmSince reports whether the node has had no trouble since a time.
func (n *node) calmSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.troubled.Before(at)
}

// ownEnds returns how often a process ended that wasn't asked to.
func (n *node) ownEnds() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.starts-1-n.asked, 0)
}

// signal sends a signal to the present process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.asked++
	}
	if n.process != nil {
		// One that has just ended needs none.
		_ = n.process.Signal(s)
	}
}

// close ends the node for good.
func (n *node) close() {
	n.mu.Lock()
	n.ended = true
	n.mu.Unlock()
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.done
	n.store.close()
	_ = n.output.Close()
}

// freeBase returns the first three numbers of unused loopback addresses.
func freeBase() (string, error) {
	for i := range 200 {
		base := fmt.Sprintf("127.%d.%d", 100+(os.Getpid()+i)%100, i)
		listener, err := net.Listen("tcp", base+".1:7499")
		if err == nil {
			_ = listener.Close()
			return base, nil
		}
	}
	return "", fmt.Errorf("no free block of loopback addresses")
}
