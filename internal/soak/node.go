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

// restartDelay is the delay before a process that exited is restarted.
const restartDelay = 300 * time.Millisecond

// node runs one process of the system and restarts it whenever it exits.
type node struct {
	settings     entry.Settings
	program      string
	settingsFile string
	output       *os.File
	// store is the node's link to the platform's store.
	store *link

	mu      sync.Mutex
	process *os.Process
	closed  bool
	// disturbedUntil is the end of the latest disturbance of the process itself. Until
	// then the guarantees for its callers don't apply.
	disturbedUntil time.Time
	// starts counts the process starts, and stopSignals the signals sent to end one.
	starts, stopSignals int
	// done is closed when supervise has returned.
	done chan struct{}
}

// newNode writes the settings of node i and starts its process.
func newNode(dir, program, prefix, storeAddress string, i int) (*node, error) {
	ip := fmt.Sprintf("%s.%d", prefix, 10+i)
	store, err := newLink(ip+":7500", storeAddress, false)
	if err != nil {
		return nil, err
	}
	s := entry.DefaultSettings()
	s.Node, s.Region, s.FailureDomain = fmt.Sprint("node-", i), "r1", fmt.Sprint("z", i%3)
	s.CallerAddress, s.DirectoryAddress, s.ReadinessAddress, s.PeerAddress = ip+":7501", ip+":7502", ip+":7503", ip+":7504"
	s.Seeds = []string{prefix + ".10:7504", prefix + ".11:7504", prefix + ".12:7504"}
	s.PlatformAddress = store.address()
	s.FirstStart = true
	s.StopTime = stopTime
	n := &node{settings: s, program: program, settingsFile: filepath.Join(dir, s.Node+".json"), store: store, done: make(chan struct{})}
	if err := n.writeSettings(); err != nil {
		return nil, err
	}
	if n.output, err = os.Create(filepath.Join(dir, s.Node+".log")); err != nil {
		return nil, err
	}
	go n.supervise()
	return n, nil
}

// stopTime is the node's setting for the time that its shutdown may take.
const stopTime = 4 * time.Second

// writeSettings writes the node's settings file.
func (n *node) writeSettings() error {
	s := n.settings
	data, err := json.Marshal(map[string]any{
		"node": s.Node, "region": s.Region, "failureDomain": s.FailureDomain, "callerAddress": s.CallerAddress,
		"directoryAddress": s.DirectoryAddress, "readinessAddress": s.ReadinessAddress, "peerAddress": s.PeerAddress,
		"seeds": s.Seeds, "platformAddress": s.PlatformAddress, "firstStart": s.FirstStart,
		"stopTime": s.StopTime.String(), "addressTtl": s.AddressTTL.String(),
		"retryRatio": 0.2, "retryAllowance": 60, "logLevel": "info",
		"evacuationTime": evacuationTime.String(), "coldOverage": coldOverage, "coldAllowance": coldAllowance,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(n.settingsFile, data, 0o600)
}

// supervise starts the process, and restarts it whenever it exits, until the node is
// closed.
func (n *node) supervise() {
	defer close(n.done)
	for {
		cmd := exec.Command(n.program, "entry", "--config", n.settingsFile)
		cmd.Stdout, cmd.Stderr = n.output, n.output
		n.mu.Lock()
		if n.closed {
			n.mu.Unlock()
			return
		}
		err := cmd.Start()
		if err != nil {
			n.closed = true
			n.mu.Unlock()
			_, _ = fmt.Fprintln(n.output, "soak: process not started and not retried:", err)
			return
		}
		n.process = cmd.Process
		n.starts++
		n.mu.Unlock()
		// The exit status is determined by the injected fault.
		_ = cmd.Wait()
		n.markDisturbed(settleTime)
		time.Sleep(restartDelay)
	}
}

// settleTime is the time after a disturbance of a process during which the guarantees
// for its callers don't apply yet.
const settleTime = 3 * time.Second

// markDisturbed suspends the guarantees for the node's callers for a time.
func (n *node) markDisturbed(lasts time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until := time.Now().Add(lasts); until.After(n.disturbedUntil) {
		n.disturbedUntil = until
	}
}

// undisturbedSince reports whether the node's latest disturbance ended before at.
func (n *node) undisturbedSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disturbedUntil.Before(at)
}

// unexpectedExits returns the number of process exits without a signal to end.
func (n *node) unexpectedExits() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.starts-1-n.stopSignals, 0)
}

// signal sends a signal to the current process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.stopSignals++
	}
	if n.process != nil {
		// The process may have just exited, which is not an error.
		_ = n.process.Signal(s)
	}
}

// close kills the process and closes the node.
func (n *node) close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.done
	n.store.close()
	_ = n.output.Close()
}

// freeAddressPrefix returns the first three octets of a block of unused loopback
// addresses.
func freeAddressPrefix() (string, error) {
	for i := range 200 {
		base := fmt.Sprintf("127.%d.%d", 100+(os.Getpid()+i)%100, i)
		listener, err := net.Listen("tcp", base+".1:7499")
		if err == nil {
			_ = listener.Close()
			return base, nil
		}
	}
	return "", fmt.Errorf("no free block of loopback addresses among 200 tried")
}
