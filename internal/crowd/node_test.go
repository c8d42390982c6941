package crowd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Limits of the node under test, far below those of a deployment.
const (
	// memoryBytes is the memory that the process may use, and the bound of its resident
	// memory.
	memoryBytes = 96 << 20
	// maxDescriptors is the limit of the process's descriptors, and openDescriptors the
	// bound of those that it has open.
	maxDescriptors  = 256
	openDescriptors = maxDescriptors * 15 / 16
	// maxBodyBytes is the largest body of a request.
	maxBodyBytes = 1 << 20
)

const (
	// startTime limits the start of a deployment, which isn't under test here.
	startTime = 30 * time.Second
	// answerTime limits the attempts to get an ordinary request answered. It is far above
	// the time limits of the node, so that it fails only if nothing is answered any more.
	answerTime = 30 * time.Second
)

// program is the path of the daemon, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "rattanlanding")
	build := exec.Command("go", "build", "-o", program, "../../cmd/rattanlanding")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the daemon: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// node is a process of the system.
type node struct {
	cmd *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
	log  string
	// address is where it serves callers.
	address string
	// head returns the first lines of a request to a plain service, without a line for the
	// body and without the empty line.
	head func(method, target string) string
	// stream is a whole request whose response is a long stream.
	stream string
}

// startProcess starts the daemon with settings.
func startProcess(t *testing.T, mode string, settings any) *node {
	t.Helper()
	g := NewWithT(t)
	dir := t.TempDir()
	data, err := json.Marshal(settings)
	g.Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(dir, "settings.json")
	g.Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
	n := &node{done: make(chan struct{}), log: filepath.Join(dir, "log")}
	output, err := os.Create(n.log)
	g.Expect(err).NotTo(HaveOccurred())
	n.cmd = exec.Command("/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(maxDescriptors), program, mode, "--config", file)
	n.cmd.Stdout, n.cmd.Stderr = output, output
	g.Expect(n.cmd.Start()).To(Succeed())
	go func() {
		// The exit status is of no interest: the process has to live until it is killed.
		_ = n.cmd.Wait()
		_ = output.Close()
		close(n.done)
	}()
	t.Cleanup(func() {
		_ = n.cmd.Process.Kill()
		<-n.done
		if t.Failed() {
			text, _ := os.ReadFile(n.log)
			t.Logf("end of the node's log:\n%s", text[max(0, len(text)-3000):])
		}
	})
	return n
}

// lives reports whether the process has not exited.
func (n *node) lives() bool {
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

// checkBounds checks that the process lives, and that the memory that it has used at most
// and its open descriptors are within their bounds.
func (n *node) checkBounds(g *WithT, when string) {
	g.Expect(n.lives()).To(BeTrue(), "the process lives "+when)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	g.Expect(err).NotTo(HaveOccurred())
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	g.Expect(found).To(BeTrue())
	kib, err := strconv.Atoi(strings.Fields(rest)[0])
	g.Expect(err).NotTo(HaveOccurred())
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	g.Expect(err).NotTo(HaveOccurred())
	fmt.Printf("%s: %d MiB at most, %d descriptors\n", when, kib>>10, len(open))
	g.Expect(kib<<10).To(BeNumerically("<=", memoryBytes), "most resident memory "+when)
	g.Expect(len(open)).To(BeNumerically("<=", openDescriptors), "open descriptors "+when)
}

// expectAnswer sends an ordinary request until it is answered. As ordinary callers do, it
// sends a refused one again after a moment, on a new connection.
func (n *node) expectAnswer(g *WithT, what string, size int) {
	body := bytes.Repeat([]byte("b"), size)
	var status int
	var err error
	for end := time.Now().Add(answerTime); time.Now().Before(end) && n.lives(); time.Sleep(100 * time.Millisecond) {
		if status, err = n.ask(body); status == http.StatusOK {
			return
		}
	}
	g.Expect(n.lives()).To(BeTrue(), "the process lives")
	g.Expect(status).To(Equal(http.StatusOK), "%s: %v", what, err)
}

// ask sends one request and returns the status of its response.
func (n *node) ask(body []byte) (int, error) {
	conn, err := net.DialTimeout("tcp", n.address, 5*time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return 0, err
	}
	// A refusal may arrive before the body was sent, and the connection is closed then.
	go func() {
		_, _ = io.WriteString(conn, n.head("PUT", "?size=100")+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)))
		_, _ = conn.Write(body)
	}()
	response, err := readResponse(conn)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// waitReady waits until the deployment answers.
func (n *node) waitReady(g *WithT, ready func() error) {
	var err error
	for end := time.Now().Add(startTime); time.Now().Before(end) && n.lives(); time.Sleep(20 * time.Millisecond) {
		if err = ready(); err == nil {
			return
		}
	}
	g.Expect(err).NotTo(HaveOccurred(), "the deployment starts")
	g.Expect(errors.New("the process has ended")).NotTo(HaveOccurred())
}

// isReady returns an error until the node answers an ordinary request.
func (n *node) isReady() error {
	status, err := n.ask([]byte("b"))
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}
