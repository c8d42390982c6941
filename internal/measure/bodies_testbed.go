package measure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rattanlanding/rattanlanding/platform/platformtest"
)

// nodeProgram is the node's program as the build leaves it.
const nodeProgram = "build/bin/rattanlanding"

// bodiesTestbed is a store, a backend server and a node as a process.
type bodiesTestbed struct {
	dir     string
	store   *platformtest.Store
	server  *httptest.Server
	node    *exec.Cmd
	address string
}

func newBodiesTestbed(ctx context.Context, memoryBytes int64) (*bodiesTestbed, error) {
	b := &bodiesTestbed{}
	var err error
	if b.dir, err = os.MkdirTemp("", "bodies"); err != nil {
		return nil, err
	}
	if b.store, err = platformtest.NewStore(""); err != nil {
		return b, err
	}
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		platformtest.SetResponseHeaders(w.Header(), "s-1", r.Header)
		_, _ = io.WriteString(w, "done\n")
	}))
	configuration := platformtest.Configuration(1, "k1")
	configuration["routes"] = []any{map[string]any{"name": "look", "hostname": "a.example", "pathPrefix": "/look/", "routeType": "safe",
		"service": "desk", "timeoutMs": bodyTimeout.Milliseconds(), "latencyGoalMs": 4000, "maxAttempts": 2, "resumable": false, "targetGapMs": 300}}
	configuration["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	b.store.Put("config", "main", configuration)
	b.store.Put("servers", "s-1", map[string]any{"service": "desk", "address": b.server.Listener.Addr().String(), "zone": "z1", "version": "v1",
		"coldRemainingMs": 0, "state": "ready", "slots": 1000, "born": 1, "sequence": 1, "models": []any{}})
	ports, err := freePorts(4)
	if err != nil {
		return b, err
	}
	b.address = ports[0]
	data, err := json.Marshal(map[string]any{"node": "n1", "region": "r1", "failureDomain": "z1", "callerAddress": ports[0],
		"directoryAddress": ports[1], "readinessAddress": ports[2], "peerAddress": ports[3], "platformAddress": b.store.Address(),
		"firstStart": true, "memoryBytes": memoryBytes, "maxDescriptors": 4100})
	if err != nil {
		return b, err
	}
	file := filepath.Join(b.dir, "settings.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return b, err
	}
	b.node = exec.Command(nodeProgram, "entry", "--config", file)
	if err := b.node.Start(); err != nil {
		return b, fmt.Errorf("%w (run make build first)", err)
	}
	probe := bodiesCaller{testbed: b}
	defer probe.close()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if probe.request(1, 1, 0, time.Now().Add(time.Second)) {
			return b, nil
		}
	}
	return b, fmt.Errorf("the node doesn't answer")
}

// freePorts returns unused addresses.
func freePorts(n int) (addresses []string, err error) {
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		// All are open at a time, so that they differ.
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// peak returns the most resident memory of the node in bytes.
func (b *bodiesTestbed) peak() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.node.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	if !found {
		return 0, fmt.Errorf("the node has ended")
	}
	kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	return kib << 10, err
}

func (b *bodiesTestbed) close() {
	if b.node != nil && b.node.Process != nil {
		// Errors mean that it has ended already.
		_ = b.node.Process.Kill()
		_ = b.node.Wait()
	}
	if b.server != nil {
		b.server.CloseClientConnections()
		b.server.Close()
	}
	if b.store != nil {
		b.store.Close()
	}
	_ = os.RemoveAll(b.dir)
}

// bodiesCaller sends one request after the other.
type bodiesCaller struct {
	testbed *bodiesTestbed
	conn    net.Conn
}

func (c *bodiesCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request sends a request in parts until it is served, a few times at most, and reports
// whether it was. As ordinary callers do, it sends again on a new connection, after the time
// that the refusal states.
func (c *bodiesCaller) request(size, parts int, pause time.Duration, deadline time.Time) bool {
	for range bodyAttempts {
		status, retryAfter, err := c.attempt(size, parts, pause, deadline)
		if err == nil && status == http.StatusOK {
			return true
		}
		c.close()
		if wait := max(retryAfter, 20*time.Millisecond); time.Until(deadline) > wait {
			time.Sleep(wait)
			continue
		}
		return false
	}
	return false
}

// attempt sends a request once.
func (c *bodiesCaller) attempt(size, parts int, pause time.Duration, deadline time.Time) (status int, retryAfter time.Duration, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.testbed.address, time.Second); err != nil {
			c.conn = nil
			return 0, 0, err
		}
	}
	if err := c.conn.SetDeadline(deadline); err != nil {
		return 0, 0, err
	}
	type answer struct {
		response *http.Response
		err      error
	}
	answered := make(chan answer, 1)
	conn := c.conn
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		answered <- answer{response, err}
	}()
	header := http.Header{"Content-Length": {strconv.Itoa(size)}}
	platformtest.SetRequestHeaders(header, fmt.Sprint("q", time.Now().UnixNano()), "k1", time.Until(deadline))
	var head bytes.Buffer
	head.WriteString("PUT /look/x HTTP/1.1\r\nHost: a.example\r\n")
	// A buffer doesn't fail.
	_ = header.Write(&head)
	head.WriteString("\r\n")
	_, err = conn.Write(head.Bytes())
	part := bytes.Repeat([]byte("b"), size/parts)
	for i := 0; i < parts && err == nil && len(answered) == 0; i++ {
		_, err = conn.Write(part)
		time.Sleep(pause)
	}
	// A refusal may have arrived although the rest of the body can't be sent.
	a := <-answered
	if a.err != nil {
		return 0, 0, a.err
	}
	seconds, _ := strconv.ParseFloat(a.response.Header.Get("Retry-After"), 64)
	return a.response.StatusCode, time.Duration(seconds * float64(time.Second)), nil
}
