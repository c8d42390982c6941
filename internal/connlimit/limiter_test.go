package connlimit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/internal/connlimit"
	"github.com/rattanlanding/rattanlanding/internal/httpdrain"
	"github.com/rattanlanding/rattanlanding/memory"
)

// descriptors are those of a process that may have maxConns connections.
const descriptors, maxConns = 32, 12

// server is a server with a limiter. Requests to /wait wait until release is closed.
type server struct {
	address string
	budget  *memory.Budget
	release chan struct{}
	// waiting is the number of requests to /wait that have arrived.
	waiting atomic.Int64
}

func newServer(t *testing.T, bytes int64) *server {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := &server{address: listener.Addr().String(), budget: memory.NewBudget(memory.Config{Bytes: bytes}), release: make(chan struct{})}
	limiter := connlimit.New(descriptors, s.budget, metrics.NewRegistry())
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			s.waiting.Add(1)
			<-s.release
		}
		w.WriteHeader(http.StatusNoContent)
	})
	// The wrapper of httpdrain hides the connections of the limiter.
	http1 := httpdrain.NewServer(&http.Server{Handler: limiter.Handler(handler), ConnContext: limiter.ConnContext, ReadHeaderTimeout: time.Minute, MaxHeaderBytes: 1 << 20})
	go func() { _ = http1.Serve(limiter.Listen(listener)) }()
	t.Cleanup(func() { _ = http1.Close() })
	return s
}

func (s *server) dial(g *WithT) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return conn
}

func send(conn net.Conn, path string) {
	_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
}

// status returns the status of the next response, or 0 if the connection was closed.
func status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

func TestMaxConns(t *testing.T) {
	g := NewWithT(t)
	g.Expect(connlimit.MaxConns(4100)).To(Equal(1950))
	g.Expect(connlimit.MaxConns(descriptors)).To(Equal(maxConns))
	g.Expect(connlimit.MaxConns(1)).To(Equal(1))
}

// Guards against connections without requests that keep others from connecting.
func TestIdleConnectionsGiveWay(t *testing.T) {
	g := NewWithT(t)
	s := newServer(t, 0)
	var idle []net.Conn
	for i := range maxConns {
		conn := s.dial(g)
		defer conn.Close()
		if i%2 == 0 {
			send(conn, "/")
			g.Expect(status(conn)).To(Equal(http.StatusNoContent))
		}
		idle = append(idle, conn)
	}
	busy := make([]net.Conn, 3)
	for i := range busy {
		busy[i] = s.dial(g)
		defer busy[i].Close()
		send(busy[i], "/wait")
	}
	g.Eventually(s.waiting.Load, 10*time.Second).Should(BeEquivalentTo(len(busy)))
	for range 3 * maxConns {
		conn := s.dial(g)
		defer conn.Close()
		send(conn, "/")
		g.Expect(status(conn)).To(Equal(http.StatusNoContent))
	}
	send(idle[0], "/")
	g.Expect(status(idle[0])).To(BeZero(), "the oldest was closed")
	close(s.release)
	for _, conn := range busy {
		g.Expect(status(conn)).To(Equal(http.StatusNoContent), "a connection with a request is kept")
	}
	g.Expect(s.budget.Used(memory.Connections)).To(BeNumerically("<=", maxConns*16<<10))
}

// Guards against requests that are given up for a new connection.
func TestNewConnectionsAreClosedIfAllHaveRequests(t *testing.T) {
	g := NewWithT(t)
	s := newServer(t, 0)
	var busy []net.Conn
	for range maxConns {
		conn := s.dial(g)
		defer conn.Close()
		send(conn, "/wait")
		busy = append(busy, conn)
	}
	// A connection counts as idle until its request is read.
	g.Eventually(s.waiting.Load, 10*time.Second).Should(BeEquivalentTo(maxConns))
	g.Eventually(func() int {
		conn := s.dial(g)
		defer conn.Close()
		send(conn, "/")
		return status(conn)
	}).Should(BeZero())
	close(s.release)
	for _, conn := range busy {
		g.Expect(status(conn)).To(Equal(http.StatusNoContent))
	}
}

// Guards against heads of many lines that arrive slowly: a parsed line takes far more memory
// than its bytes.
func TestSlowHeadsGiveWay(t *testing.T) {
	g := NewWithT(t)
	const bytes = 32 << 20
	s := newServer(t, bytes)
	lines := &strings.Builder{}
	for i := range 6000 {
		fmt.Fprintf(lines, "%x:\r\n", 0x1000+i)
	}
	for range maxConns - 2 {
		conn := s.dial(g)
		defer conn.Close()
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+lines.String())
	}
	g.Consistently(func() int64 { return s.budget.Used(memory.Heads) }, 500*time.Millisecond).Should(BeNumerically("<=", bytes/16))
	small := s.dial(g)
	defer small.Close()
	send(small, "/")
	g.Expect(status(small)).To(Equal(http.StatusNoContent), "a small head needs none of this memory")
	time.Sleep(time.Second)
	large := s.dial(g)
	defer large.Close()
	_, _ = io.WriteString(large, "GET / HTTP/1.1\r\nHost: h\r\n"+lines.String()+"\r\n")
	g.Expect(status(large)).To(Equal(http.StatusNoContent), "the slow ones give way to a large head")
}
