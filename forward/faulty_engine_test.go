package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/upstream"
)

// scriptedServer writes a scripted response to each request in turn, on whatever connection
// it arrives. In a script, ID stands for the ID of the request; one that ends in CLOSE
// closes the connection, one that ends in RESET resets it, and one that ends in CRASH closes
// it and the listener.
type scriptedServer struct {
	mu      sync.Mutex
	scripts []string
	// runs maps request IDs to the number of times that the request arrived.
	runs map[string]int
	// connections is the number of connections accepted.
	connections int
	listeners   []net.Listener
}

func (s *scriptedServer) listen() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.connections++
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (s *scriptedServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		s.mu.Lock()
		if s.runs == nil {
			s.runs = map[string]int{}
		}
		s.runs[id]++
		script := "CLOSE"
		if len(s.scripts) > 0 {
			script, s.scripts = s.scripts[0], s.scripts[1:]
		}
		script, crashes := strings.CutSuffix(script, "CRASH")
		if crashes {
			for _, l := range s.listeners {
				_ = l.Close()
			}
		}
		s.mu.Unlock()
		script, resets := strings.CutSuffix(script, "RESET")
		if resets {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		script, closes := strings.CutSuffix(script, "CLOSE")
		if _, err := io.WriteString(conn, strings.ReplaceAll(script, "ID", id)); err != nil || closes || resets || crashes {
			return
		}
	}
}

func (s *scriptedServer) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// refusalCodec is a headerCodec with refusals.
type refusalCodec struct{ headerCodec }

func (c refusalCodec) DecodeResponse(status int, h http.Header) ResponseMeta {
	m := c.headerCodec.DecodeResponse(status, h)
	m.NotRun = h.Get("Not-Run") != ""
	return m
}

// newScriptedNode starts a node that forwards to servers at the addresses, which are both
// plain servers and engines.
func newScriptedNode(addresses ...string) *httptest.Server {
	route := func(prefix, service string, kind catalog.Kind) catalog.Route {
		return catalog.Route{Host: "h", PathPrefix: prefix, Kind: kind, Resumable: kind == catalog.Streaming, LatencyGoal: 300 * time.Millisecond,
			Timeout: 2 * time.Second, MaxAttempts: 2, Targets: []catalog.Target{{Service: service, Weight: 1}}}
	}
	configuration := (&catalog.Configuration{
		Services: []catalog.Service{{Name: "desk"}, {Name: "llm", Engine: &catalog.EngineProfile{Slots: 40, Models: []catalog.Model{{Name: "m", Size: 1, TimeFactor: 1}}}}},
		Routes: []catalog.Route{route("/safe/", "desk", catalog.Safe), route("/unsafe/", "desk", catalog.Unsafe),
			route("/stream/", "llm", catalog.Streaming)},
	}).Index()
	var instances []*engine.Instance
	for i, address := range addresses {
		instances = append(instances, &engine.Instance{ID: fmt.Sprint("d", i), Service: "desk", Address: address, Slots: 40},
			&engine.Instance{ID: fmt.Sprint("e", i), Service: "llm", Address: address, Model: "m",
				Membership: engine.Membership{Group: fmt.Sprint("g", i), Epoch: 1, Phase: engine.Open}})
	}
	tables := NewTables()
	tables.Build(configuration, engine.NewRoster(instances))
	var section blackboard.Section[catalog.Configuration]
	section.Publish(configuration)
	others := &fakePeers{}
	handler := NewHandler(Config{RetryRatio: 1, RetryAllowance: 100}, Dependencies{Configuration: &section, Dispatcher: NewDispatcher(tables, others, "z", newThrottle()),
		Connections: upstream.NewPool(upstream.Config{}), Peers: others, Codec: refusalCodec{}, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry()})
	node := httptest.NewServer(handler)
	DeferCleanup(node.Close)
	return node
}

// sendScripted sends a request. It returns the status, the body, and whether the response was
// complete.
func sendScripted(node *httptest.Server, path, id string) (status int, body string, complete bool) {
	r, err := http.NewRequest(http.MethodGet, node.URL+path, nil)
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set("Id", id)
	r.Header.Set("Model", "m")
	r.Header["Part"] = []string{"shared", "own"}
	response, err := node.Client().Do(r)
	if err != nil {
		return 0, "", false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err == nil
}

const (
	sound      = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok"
	refusal    = "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	oldRefusal = "HTTP/1.1 503 Busy\r\nId: earlier\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	anonymous  = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	streamHead = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	twoEvents  = "1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n"
)

var _ = Describe("Handler with an engine that writes an earlier refusal once more", func() {
	DescribeTable("gives the caller the request's own response, and runs it once",
		func(path, script string, status int) {
			// Guards against callers who are told that a request was not run although it was
			// (REFUSED), and against a second run of it (TWICE).
			s := &scriptedServer{scripts: []string{sound, script, sound}}
			other := &scriptedServer{scripts: []string{sound, sound, sound}}
			node := newScriptedNode(s.listen())
			first, _, _ := sendScripted(node, path, "first")
			Expect(first).To(Equal(200))
			got, _, _ := sendScripted(node, path, "second")
			Expect(got).To(Equal(status))
			Expect(s.ran("second") + other.ran("second")).To(Equal(1))
			third, body, complete := sendScripted(node, path, "third")
			Expect(third).To(Equal(200))
			Expect(body).To(Equal("ok"))
			Expect(complete).To(BeTrue())
		},
		Entry("before the response", "/safe/x", oldRefusal+sound, 200),
		Entry("before the response to an unsafe request", "/unsafe/x", oldRefusal+sound, 200),
		Entry("after the response", "/safe/x", sound+oldRefusal, 200),
		Entry("after the response to an unsafe request", "/unsafe/x", sound+oldRefusal, 200),
		Entry("without a request ID", "/unsafe/x", anonymous+sound, 200),
		Entry("in place of the response to an unsafe request", "/unsafe/x", oldRefusal+"CLOSE", 502),
	)

	It("doesn't keep the connection of a refusal", func() {
		// Guards against the response to a request that was refused and that is awaited by
		// the next one.
		s := &scriptedServer{scripts: []string{refusal + sound, sound}}
		node := newScriptedNode(s.listen())
		status, _, _ := sendScripted(node, "/safe/x", "first")
		Expect(status).To(Equal(503))
		status, body, _ := sendScripted(node, "/safe/x", "second")
		Expect(status).To(Equal(200))
		Expect(body).To(Equal("ok"))
		Expect(s.connections).To(Equal(2))
	})
})

var _ = Describe("Handler with a stream that broke off", func() {
	DescribeTable("aborts the response if the next engine answers with an error",
		func(answer string) {
			// Guards against an error, or the head of a response, in the middle of a stream, and
			// against an incomplete stream that looks complete (ORDER, MIXED).
			// Both addresses belong to one server, as either engine may be chosen first.
			s := &scriptedServer{scripts: []string{streamHead + twoEvents + "CLOSE", answer, answer}}
			_, body, complete := sendScripted(newScriptedNode(s.listen(), s.listen()), "/stream/x", "r")
			Expect(s.ran("r")).To(Equal(2))
			Expect(body).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
			Expect(complete).To(BeFalse())
		},
		Entry("500", "HTTP/1.1 500 Broken\r\nId: ID\r\nContent-Length: 4\r\n\r\nboom"),
		Entry("503 without having run it", "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nboom"),
		Entry("400", "HTTP/1.1 400 Bad\r\nId: ID\r\nContent-Length: 4\r\n\r\nboom"),
		Entry("a success that is no stream", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: application/json\r\nContent-Length: 18\r\n\r\n{\"error\":\"boom\"}\n\n"),
		Entry("an incomplete head", "HTTP/1.1 500 Bro"+"CLOSE"),
	)
})

var _ = Describe("Handler with a stream whose engines name no media type or only some do", func() {
	DescribeTable("resumes it", func(first, second string) {
		// Guards against a sound stream that is broken off because its media type is unknown.
		head := func(contentType string) string {
			return strings.Replace(streamHead, "Content-Type: text/event-stream\r\n", contentType, 1)
		}
		s := &scriptedServer{scripts: []string{head(first) + twoEvents + "CLOSE", head(second) + "f\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n"}}
		status, body, complete := sendScripted(newScriptedNode(s.listen(), s.listen()), "/stream/x", "r")
		Expect(status).To(Equal(200))
		Expect(body).To(HaveSuffix("id: 3\ndata: c\n\n"))
		Expect(complete).To(BeTrue())
	},
		Entry("neither", "", ""),
		Entry("the second", "", "Content-Type: text/event-stream\r\n"),
		Entry("the first", "Content-Type: text/event-stream\r\n", ""),
		Entry("with parameters", "Content-Type: text/event-stream\r\n", "Content-Type: text/event-stream; charset=utf-8\r\n"),
	)
})

var _ = Describe("Handler with an engine that stops within the head of its response", func() {
	DescribeTable("never answers with success",
		func(path, head string) {
			// Guards against a response with an empty or short body that is framed as whole
			// (MIXED, ORDER).
			s := &scriptedServer{scripts: []string{head + "CLOSE", head + "CLOSE"}}
			status, _, complete := sendScripted(newScriptedNode(s.listen()), path, "r")
			Expect(status == 200 && complete).To(BeFalse(), "status %d", status)
			Expect(status).To(BeElementOf(502, 504, 0))
		},
		Entry("in the status line", "/safe/x", "HTTP/1.1 200 OK"),
		Entry("after the status line", "/safe/x", "HTTP/1.1 200 OK\r\n"),
		Entry("in a header", "/unsafe/x", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Le"),
		Entry("after a header", "/unsafe/x", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n"),
		Entry("after the ID of a stream", "/stream/x", "HTTP/1.1 200 OK\r\nId: r\r\n"),
		Entry("before the blank line of a stream", "/stream/x", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r"),
		Entry("before the body", "/safe/x", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\n"),
	)
})

var _ = Describe("Handler with a server whose status is none of HTTP", func() {
	DescribeTable("answers with a failure", func(path, status string) {
		// Guards against a connection that is closed without an answer because the status
		// can't be passed on.
		head := "HTTP/1.1 " + status + " OK\r\nId: r\r\nContent-Length: 0\r\n\r\n"
		s := &scriptedServer{scripts: []string{head, head}}
		got, _, complete := sendScripted(newScriptedNode(s.listen()), path, "r")
		Expect(got).To(Equal(502))
		Expect(complete).To(BeTrue())
	},
		Entry("to a safe request", "/safe/x", "000"),
		Entry("to an unsafe request", "/unsafe/x", "099"),
		Entry("to a stream", "/stream/x", "007"),
	)
})

var _ = Describe("Handler with a backend server that answers with an odd status", func() {
	answer := func(status string) string {
		return "HTTP/1.1 " + status + " x\r\nId: ID\r\nContent-Length: 2\r\n\r\nok"
	}
	DescribeTable("gives the caller no answer that isn't one, and doesn't say that the request has not run",
		func(path, script string, status, runs int) {
			// Guards against a status that is none as the caller's answer (MIXED).
			for _, detour := range []bool{false, true} {
				server := &scriptedServer{scripts: []string{script, script, sound}}
				node := newScriptedNode(server.listen())
				if detour {
					_, carrier := newCarrier(server.listen())
					node = newScriptedNode(refuseAll())
					addDetours(node, carrier)
				}
				got, _, complete := sendScripted(node, path, "r")
				Expect(got).To(Equal(status))
				Expect(complete).To(BeTrue())
				Expect(server.ran("r")).To(Equal(runs))
			}
		},
		Entry("000", "/unsafe/x", answer("000"), http.StatusBadGateway, 1),
		Entry("000 of a stream", "/stream/x", answer("000"), http.StatusBadGateway, 1),
		Entry("000 with a refusal", "/unsafe/x", "HTTP/1.1 000 x\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", http.StatusBadGateway, 1),
		Entry("099", "/unsafe/x", answer("099"), http.StatusBadGateway, 1),
		Entry("101", "/unsafe/x", "HTTP/1.1 101 x\r\nId: ID\r\nUpgrade: y\r\nConnection: Upgrade\r\n\r\nCLOSE", http.StatusBadGateway, 1),
		Entry("199, which is followed by the response", "/unsafe/x", "HTTP/1.1 199 x\r\n\r\n"+sound, http.StatusOK, 1),
		Entry("999", "/unsafe/x", answer("999"), 999, 1),
		Entry("1000", "/unsafe/x", answer("1000"), http.StatusBadGateway, 1),
	)
})
