package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/memory"
	"github.com/rattanlanding/rattanlanding/upstream"
)

// endlessServer responds to each request with start and then repeats part, with a pause
// before each, until the client closes the connection.
type endlessServer struct {
	start, part string
	pause       time.Duration
	// written is the number of bytes written.
	written atomic.Int64
	// closed is the number of connections that ended.
	closed atomic.Int64
}

func (s *endlessServer) listen() string { return listenServing(s.answer) }

func (s *endlessServer) answer(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	n, err := conn.Write([]byte(s.start))
	part := []byte(s.part)
	for err == nil {
		s.written.Add(int64(n))
		time.Sleep(s.pause)
		n, err = conn.Write(part)
	}
	s.closed.Add(1)
}

// headerCodec reads the request ID, the model and the parts of the prompt from headers.
type headerCodec struct{}

func (headerCodec) DecodeRequest(h http.Header) Meta {
	return Meta{ID: h.Get("Id"), Model: h.Get("Model"), Prompt: h.Values("Part")}
}
func (headerCodec) EncodeRequest(http.Header, Attempt)    {}
func (headerCodec) EncodeOwnResponse(http.Header, string) {}
func (headerCodec) DecodeResponse(_ int, h http.Header) ResponseMeta {
	return ResponseMeta{RequestID: h.Get("Id")}
}

// endlessTimeout is the timeout of the requests to endless servers, far above the time
// without events after which a stream is moved to another engine.
const endlessTimeout = 6 * time.Second

// newTestNode starts a node that forwards to one plain server and one engine at the
// address.
func newTestNode(address string) *httptest.Server {
	return newLimitedNode(address, Config{}, memory.NewBudget(memory.Config{Bytes: 128 << 20}))
}

// newLimitedNode starts such a node with limits.
func newLimitedNode(address string, cfg Config, budget *memory.Budget) *httptest.Server {
	configuration := (&catalog.Configuration{
		Services: []catalog.Service{{Name: "desk"}, {Name: "llm", Engine: &catalog.EngineProfile{Slots: 300, Models: []catalog.Model{{Name: "m", Size: 1, TimeFactor: 1}}}}},
		Routes: []catalog.Route{
			{Host: "h", PathPrefix: "/plain/", Kind: catalog.Safe, Timeout: endlessTimeout, MaxAttempts: 1, Targets: []catalog.Target{{Service: "desk", Weight: 1}}},
			{Host: "h", PathPrefix: "/stream/", Kind: catalog.Streaming, Resumable: true, LatencyGoal: 300 * time.Millisecond, Timeout: endlessTimeout,
				MaxAttempts: 1, Targets: []catalog.Target{{Service: "llm", Weight: 1}}},
		},
	}).Index()
	roster := engine.NewRoster([]*engine.Instance{
		{ID: "d", Service: "desk", Address: address, Slots: 300},
		{ID: "e", Service: "llm", Address: address, Model: "m", Membership: engine.Membership{Group: "g", Epoch: 1, Phase: engine.Open}},
	})
	tables := NewTables()
	tables.Build(configuration, roster)
	var section blackboard.Section[catalog.Configuration]
	section.Publish(configuration)
	others := &fakePeers{}
	handler := NewHandler(cfg, Dependencies{Configuration: &section, Dispatcher: NewDispatcher(tables, others, "z", newThrottle()), Connections: upstream.NewPool(upstream.Config{}),
		Peers: others, Codec: headerCodec{}, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
		Memory: budget})
	node := httptest.NewServer(handler)
	DeferCleanup(node.Close)
	return node
}

// get sends a request. It returns the status, or 0 if the connection ended early, and the
// length of the response.
func get(node *httptest.Server, path string) (status, length int) {
	r, err := http.NewRequest(http.MethodGet, node.URL+path, nil)
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set("Id", "r")
	r.Header.Set("Model", "m")
	response, err := node.Client().Do(r)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := response.Body.Read(buffer)
		length += n
		if err != nil {
			if errors.Is(err, io.EOF) {
				return response.StatusCode, length
			}
			return 0, length
		}
	}
}

const (
	okHead      = "HTTP/1.1 200 OK\r\nId: r\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n"
	foreignHead = "HTTP/1.1 200 OK\r\nId: other\r\n\r\n"
)

var _ = Describe("Handler with a server that sends an endless response", func() {
	// socketBuffers is the number of bytes that the kernel buffers in addition to those
	// that the node reads.
	const socketBuffers = 12 << 20

	DescribeTable("ends the request early, closes the connection, and takes a bounded number of bytes",
		func(path, start, part string, pause time.Duration, bound int64) {
			server := &endlessServer{start: start, part: part, pause: pause}
			node := newTestNode(server.listen())
			began := time.Now()
			status, _ := get(node, path)
			Expect(time.Since(began)).To(BeNumerically("<", endlessTimeout/2))
			Expect(status).To(Or(BeZero(), Equal(http.StatusBadGateway)), "the caller received a response that looks complete")
			Eventually(server.closed.Load).Should(BeNumerically(">=", 1))
			Expect(server.written.Load()).To(BeNumerically("<", bound+socketBuffers))
		},
		Entry("a line of the head", "/plain/", "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 1<<16), time.Duration(0), int64(1<<20)),
		Entry("lines of the head", "/plain/", "HTTP/1.1 200 OK\r\n", strings.Repeat("X: y\r\n", 1<<12), time.Duration(0), int64(1<<20)),
		Entry("a line of the head, slowly", "/plain/", "HTTP/1.1 200 OK\r\nX: ", "x", 50*time.Millisecond, int64(1<<20)),
		Entry("interim responses", "/plain/", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1<<10), time.Duration(0), int64(1<<20)),
		Entry("the body of a response to another request", "/plain/", foreignHead, strings.Repeat("x", 1<<16), time.Duration(0), int64(maxBuffered)),
		Entry("a body", "/plain/", okHead, strings.Repeat("x", 1<<16), time.Duration(0), int64(maxBuffered)),
		Entry("a body, slowly", "/plain/", okHead, "x", 50*time.Millisecond, int64(1<<20)),
		Entry("chunks, slowly", "/plain/", chunkedHead, "1\r\nx\r\n", 50*time.Millisecond, int64(1<<20)),
		Entry("chunks", "/plain/", chunkedHead, "1000\r\n"+strings.Repeat("x", 1<<12)+"\r\n", time.Duration(0), int64(maxBuffered)),
		Entry("the size of a chunk", "/plain/", chunkedHead, strings.Repeat("0", 1<<12), time.Duration(0), int64(1<<20)),
		Entry("a line of a stream's head", "/stream/", "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 1<<16), time.Duration(0), int64(1<<20)),
		Entry("a stream's head, slowly", "/stream/", "HTTP/1.1 200 OK\r\n", "X: y\r\n", 50*time.Millisecond, int64(1<<20)),
		Entry("a line of a stream", "/stream/", okHead, strings.Repeat("x", 1<<12), time.Duration(0), int64(2*maxEvent)),
		Entry("lines of an event", "/stream/", okHead, strings.Repeat("data: x\n", 1<<9), time.Duration(0), int64(2*maxEvent)),
		Entry("lines of an event, slowly", "/stream/", okHead, "data: x\n", 50*time.Millisecond, int64(1<<20)),
		Entry("blank lines", "/stream/", okHead, "\n\n", 50*time.Millisecond, int64(1<<20)),
		Entry("comments", "/stream/", okHead, ": x\n\n", 50*time.Millisecond, int64(1<<20)),
		Entry("lines that are no fields", "/stream/", okHead, "x\n\n", 50*time.Millisecond, int64(1<<20)),
		Entry("the body of a failure to stream", "/stream/", "HTTP/1.1 404 Not Found\r\nId: r\r\n\r\n", strings.Repeat("x", 1<<16), time.Duration(0), int64(maxBuffered)),
	)

	It("delivers a slow but sound response whole", func() {
		// Guards against a server that is cut because it is slow: 100 bytes each half
		// second, and a pause before them.
		const parts = 8
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 800\r\n\r\n")
			for range parts {
				time.Sleep(500 * time.Millisecond)
				_, _ = io.WriteString(conn, strings.Repeat("x", 100))
			}
		}()
		status, length := get(newTestNode(listener.Addr().String()), "/plain/")
		Expect(status).To(Equal(http.StatusOK))
		Expect(length).To(Equal(100 * parts))
	})

	It("bounds the memory of many endless responses at the same time", func() {
		// Guards against a process that is killed because of its memory use.
		server := &endlessServer{start: okHead, part: strings.Repeat("x", 1<<16)}
		node := newTestNode(server.listen())
		runtime.GC()
		var before, now runtime.MemStats
		runtime.ReadMemStats(&before)
		done := make(chan struct{})
		var all sync.WaitGroup
		for range 32 {
			all.Go(func() { get(node, "/plain/") })
		}
		go func() { all.Wait(); close(done) }()
		peak := uint64(0)
		for running := true; running; {
			select {
			case <-done:
				running = false
			case <-time.After(5 * time.Millisecond):
				runtime.ReadMemStats(&now)
				peak = max(peak, now.HeapAlloc-min(before.HeapAlloc, now.HeapAlloc))
			}
		}
		Expect(peak).To(BeNumerically("<", 128<<20))
	})
})
