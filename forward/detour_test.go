package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/reach"
	"github.com/rattanlanding/rattanlanding/suspicion"
	"github.com/rattanlanding/rattanlanding/throttle"
	"github.com/rattanlanding/rattanlanding/upstream"
)

// addDetours gives a node detours through others, which carry at the given addresses.
func addDetours(node *httptest.Server, carriers ...string) *Handler {
	handler := node.Config.Handler.(*Handler)
	links := reach.NewLedger(nil, log.NewNopLogger(), metrics.NewRegistry())
	peers := reach.NewLedger(nil, log.NewNopLogger(), metrics.NewRegistry())
	handler.Connections = upstream.NewPool(upstream.Config{Dialled: links.Dialled})
	handler.Detours = &Detours{Links: links, Peers: peers, Connections: upstream.NewPool(upstream.Config{Dialled: peers.Dialled}),
		Nodes: func() []string { return carriers }, Stranded: func() int { return 0 }}
	// A single failure counts as that of the server unless other nodes receive its events.
	handler.Peers = &fakePeers{progress: true}
	return handler
}

// newCarrier starts a node that reaches the servers at the addresses and carries requests to
// them. It returns its address for other nodes.
func newCarrier(addresses ...string) (*Handler, string) {
	handler := addDetours(newScriptedNode(addresses...))
	carrier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Expect(IsDetour(r)).To(BeTrue())
		handler.ServeDetour(w, r)
	}))
	DeferCleanup(carrier.Close)
	return handler, carrier.Listener.Addr().String()
}

// pausingCodec decodes the header Pause, in seconds, as what a server asks of the node.
type pausingCodec struct{ refusalCodec }

func (c pausingCodec) DecodeResponse(status int, h http.Header) ResponseMeta {
	m := c.refusalCodec.DecodeResponse(status, h)
	if seconds, err := strconv.Atoi(h.Get("Pause")); err == nil {
		m.Statement.RetryAfter = time.Duration(seconds) * time.Second
	}
	return m
}

// strand makes a node know that it has lost its links, as it does after a few requests.
func strand(handler *Handler) {
	for _, address := range []string{"x:1", "x:2", "x:3", "x:4"} {
		handler.Detours.Links.Dialled(address, net.ErrClosed)
		handler.Detours.Links.Detoured(address, true)
	}
	Expect(handler.Detours.stranded()).To(BeTrue())
}

var _ = Describe("A node that has lost its links to all backend servers", func() {
	DescribeTable("answers its callers through another node",
		func(path, script, body string) {
			// Guards against callers who are refused at some nodes while others serve (RECOVER).
			server := &scriptedServer{scripts: []string{script, script}}
			_, carrier := newCarrier(server.listen())
			node := newScriptedNode(refuseAll())
			handler := addDetours(node, carrier)
			for _, id := range []string{"r1", "r2"} {
				status, got, complete := sendScripted(node, path, id)
				Expect(status).To(Equal(http.StatusOK))
				Expect(got).To(Equal(body))
				Expect(complete).To(BeTrue())
				Expect(server.ran(id)).To(Equal(1))
				strand(handler)
			}
			Expect(handler.metrics.detours.Count()).To(BeEquivalentTo(2))
			Expect(handler.metrics.retries.Count()).To(BeZero())
		},
		Entry("a stream", "/stream/x", soundStream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
		Entry("a stream that ends with its connection", "/stream/x", unframedHead+"id: 1\ndata: x\n\n"+"CLOSE", "id: 1\ndata: x\n\n"),
		Entry("a request that may be repeated", "/safe/x", sound, "ok"),
		Entry("a request that may not", "/unsafe/x", sound, "ok"),
	)

	It("passes the request on unchanged, without its own headers", func() {
		// Guards against servers that see another request than they would directly (UNASKED).
		type seen struct {
			method, target, host, body string
			header                     http.Header
		}
		requests := make(chan seen, 1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			requests <- seen{r.Method, r.RequestURI, r.Host, string(body), r.Header}
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Keep-Alive", "timeout=9")
			w.Header().Set(headerDetourRefusal, string(incapable))
			w.Header()["Content-Type"] = nil
			w.WriteHeader(http.StatusTeapot)
			_, _ = io.WriteString(w, "short")
		}))
		DeferCleanup(server.Close)
		_, carrier := newCarrier(server.Listener.Addr().String())
		node := newScriptedNode(refuseAll())
		addDetours(node, carrier)
		body := strings.Repeat("b", 64<<10)
		r, err := http.NewRequest(http.MethodPut, node.URL+"/safe/x%2Fy/?q=%20", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		r.Host = "h"
		r.Header = http.Header{"Id": {"r"}, "Other": {"a", "b"}, headerDetourFresh: {"1"}, headerDetourCheck: {checkRefused}}
		response, err := node.Client().Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		got, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal("short"))
		Expect(response.StatusCode).To(Equal(http.StatusTeapot))
		for name := range response.Header {
			Expect(name).NotTo(HavePrefix(headerDetour))
		}
		var s seen
		Expect(requests).To(Receive(&s))
		Expect(s.method + " " + s.target + " " + s.host).To(Equal("PUT /safe/x%2Fy/?q=%20 h"))
		Expect(s.body == body).To(BeTrue())
		Expect(s.header["Other"]).To(Equal([]string{"a", "b"}))
		for name := range s.header {
			Expect(name).NotTo(HavePrefix(headerDetour))
		}
	})

	DescribeTable("tells the caller truthfully whether the request may have run",
		func(script string, status, runs int) {
			// Guards against a request that runs twice (TWICE) or is said not to have run (REFUSED).
			server := &scriptedServer{scripts: []string{script, script, script}}
			carrierHandler, carrier := newCarrier(server.listen())
			node := newScriptedNode(refuseAll())
			handler := addDetours(node, carrier)
			carrierHandler.Detours.Links.Dialled("in touch", nil)
			got, _, complete := sendScripted(node, "/unsafe/x", "r")
			Expect(complete).To(BeTrue())
			Expect(got).To(Equal(status))
			Expect(server.ran("r")).To(Equal(runs))
			Expect(handler.InFlight()).To(BeZero())
		},
		Entry("a response that is reset", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nokRESET", http.StatusBadGateway, 1),
		Entry("a response that ends early", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nokCLOSE", http.StatusBadGateway, 1),
		Entry("no response", "RESET", http.StatusBadGateway, 1),
		Entry("a response to another request", strings.Repeat(oldRefusal, 3)+"CLOSE", http.StatusBadGateway, 1),
		Entry("a response without a length from a server that crashes", "HTTP/1.1 200 OK\r\nId: ID\r\n\r\nokCRASH", http.StatusBadGateway, 1),
		Entry("a refusal", refusal, http.StatusServiceUnavailable, 1),
	)

	It("refuses at once if no other node reaches the server, without a loop between them", func() {
		// Guards against requests that go round between nodes, and against callers who wait.
		first, firstAddress := newCarrier(refuseAll())
		second, secondAddress := newCarrier(refuseAll())
		first.Detours.Nodes = func() []string { return []string{secondAddress} }
		second.Detours.Nodes = func() []string { return []string{firstAddress} }
		strand(first)
		strand(second)
		node := newScriptedNode(refuseAll())
		handler := addDetours(node, firstAddress, secondAddress)
		strand(handler)
		started := time.Now()
		status, _, _ := sendScripted(node, "/unsafe/x", "r")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(started)).To(BeNumerically("<", 300*time.Millisecond))
		Expect(first.metrics.detours.Count() + second.metrics.detours.Count()).To(BeZero())
	})

	It("asks another node if one is cut off, too, or runs a build that carries nothing", func() {
		// Guards against a refusal, or a doubt whether the request ran, because of the first node.
		earlier := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(earlier.Close)
		_, cutOff := newCarrier(refuseAll())
		server := &scriptedServer{scripts: []string{sound}}
		_, carrier := newCarrier(server.listen())
		node := newScriptedNode(refuseAll())
		addDetours(node, earlier.Listener.Addr().String(), cutOff, carrier)
		status, _, _ := sendScripted(node, "/unsafe/x", "r")
		Expect(status).To(Equal(http.StatusOK))
	})

	It("blames no server for its own links", func() {
		// Guards against sound servers that are held, and requests that count as deadly, because
		// a node lost its links (RECOVER, DENIED).
		for attempt := range 20 {
			server := &scriptedServer{scripts: []string{soundStream}}
			address := server.listen()
			carrierHandler, carrier := newCarrier(address, address)
			carrierHandler.Detours.Links.Dialled("in touch", nil)
			// The connection breaks, and no further ones are accepted, as if the process had ended.
			cut := &scriptedServer{scripts: []string{streamHead + twoEvents + "CRASH"}}
			node := newScriptedNode(cut.listen(), refuseAll())
			handler := addDetours(node, carrier)
			id := "r" + strconv.Itoa(attempt)
			status, _, complete := sendScripted(node, "/stream/x", id)
			Expect(status).To(Equal(http.StatusOK))
			Expect(complete).To(BeTrue())
			if cut.ran(id) == 0 {
				continue
			}
			load := handler.Dispatcher.tables.Load().Target("e0").Load
			Consistently(func() bool {
				return load.Suspected(time.Now()) || !handler.Quarantine.Report()[quarantine.Requests].Empty()
			}, 300*time.Millisecond).Should(BeFalse())
			return
		}
		Fail("the engine whose link fails was never chosen")
	})

	It("waits for no node that stands still to learn whether an engine has crashed", func() {
		// Guards against a deadly request that crashes further engines meanwhile (BUDGET).
		still := listenServing(func(conn net.Conn) {
			defer conn.Close()
			_, _ = io.Copy(io.Discard, conn)
		})
		for _, inTouch := range []bool{true, false} {
			carrierHandler, carrier := newCarrier(refuseAll())
			if inTouch {
				carrierHandler.Detours.Links.Dialled("in touch", nil)
				carrierHandler.Detours.Links.Dialled("in touch, too", nil)
			}
			handler := addDetours(newScriptedNode("127.0.0.1:1"), still, carrier)
			started := time.Now()
			Expect(handler.confirmDown(context.Background(), checkRefused, "e0")).To(BeTrue())
			limit := 2 * upstream.DefaultDialTimeout
			if inTouch {
				limit = upstream.DefaultDialTimeout / 2
			}
			Expect(time.Since(started)).To(BeNumerically("<", limit))
		}
	})

	It("withdraws what it has seen of the servers once it knows", func() {
		// Guards against refusals for the seconds for which servers are held.
		node := newScriptedNode("127.0.0.1:1")
		handler := addDetours(node)
		load := handler.Dispatcher.tables.Load().Target("e0").Load
		load.record.Failed(suspicion.Silent, time.Now())
		Expect(load.Suspected(time.Now())).To(BeTrue())
		for _, address := range []string{"x:1", "x:2", "x:3"} {
			handler.Detours.Links.Dialled(address, net.ErrClosed)
			handler.reachedByDetour(address)
		}
		Expect(load.Suspected(time.Now())).To(BeFalse())
		Expect(handler.Dispatcher.Assess(handler.Dispatcher.tables.Load().Target("e0")).Untested).To(BeFalse())
	})

	It("sends requests directly again once its links are back", func() {
		// Guards against detours for longer than the cut.
		server := &scriptedServer{scripts: []string{sound, sound, sound}}
		_, carrier := newCarrier(server.listen())
		address := refuseAll()
		node := newScriptedNode(address)
		handler := addDetours(node, carrier)
		status, _, _ := sendScripted(node, "/safe/x", "r1")
		Expect(status).To(Equal(http.StatusOK))
		strand(handler)
		listener, err := net.Listen("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = handler.ProbeLinks(ctx) }()
		Eventually(func() bool { return handler.route(address).Detour }, 2*time.Second).Should(BeFalse())
	})
})

var _ = Describe("A node that carries requests of others", func() {
	It("sends none to a server that asked it for a pause, for whomever it carries", func() {
		// Guards against several nodes that send through one, each unaware of what the others heard.
		server := &scriptedServer{scripts: []string{sound}}
		other := &scriptedServer{scripts: slices.Repeat([]string{sound}, 20)}
		carrierHandler, carrier := newCarrier(server.listen(), other.listen())
		target := carrierHandler.Dispatcher.tables.Load().Target("d0")
		carrierHandler.Dispatcher.ObserveResponse(target.Instance, throttle.Statement{RetryAfter: 5 * time.Second}, time.Now())
		node := newScriptedNode(refuseAll(), refuseAll())
		handler := addDetours(node, carrier)
		for i := range 10 {
			status, _, _ := sendScripted(node, "/unsafe/x", "r"+strconv.Itoa(i))
			Expect(status).To(Equal(http.StatusOK))
		}
		Expect(server.runs).To(BeEmpty())
		// The node learns of the pause from the first refusal, which no server has seen.
		Expect(handler.metrics.detoursRefused.Count()).To(BeNumerically("<=", 1))
		Expect(handler.metrics.retries.Count()).To(BeZero())
	})

	It("learns the pause from the responses that it carries", func() {
		// Guards against requests of this node to a server that has asked it for a pause (BUDGET).
		const pause = "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\nPause: 5\r\nContent-Length: 0\r\n\r\n"
		server := &scriptedServer{scripts: []string{pause, sound}}
		carrierHandler, carrier := newCarrier(server.listen())
		carrierHandler.Codec = pausingCodec{}
		for i := range 2 {
			node := newScriptedNode(refuseAll())
			addDetours(node, carrier)
			status, _, _ := sendScripted(node, "/unsafe/x", "r"+strconv.Itoa(i))
			Expect(status).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(server.ran("r0")).To(Equal(1))
		Expect(server.ran("r1")).To(BeZero())
	})

	It("takes the share of connections of the nodes that have lost their links", func() {
		// Guards against refusals for want of connections that nobody uses (RECOVER).
		handler := addDetours(newScriptedNode("127.0.0.1:1"))
		handler.Peers = &fakePeers{nodes: 66}
		service := &catalog.Service{MaxConnections: 198}
		Expect(handler.connectionLimit(service)).To(Equal(2))
		handler.Detours.Stranded = func() int { return 40 }
		Expect(handler.connectionLimit(service)).To(Equal(6))
		handler.Detours.Stranded = func() int { return 70 }
		Expect(handler.connectionLimit(service)).To(Equal(165))
	})

	It("ends the request at the server if the other node leaves", func() {
		// Guards against work for callers who have left (GONE).
		closed := make(chan struct{})
		address := listenServing(func(conn net.Conn) {
			defer close(closed)
			defer conn.Close()
			_, _ = io.Copy(io.Discard, conn)
		})
		_, carrier := newCarrier(address)
		node := newScriptedNode(refuseAll())
		handler := addDetours(node, carrier)
		ctx, cancel := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, node.URL+"/safe/x", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host, r.Header = "h", http.Header{"Id": {"r"}}
		go func() {
			if response, err := node.Client().Do(r); err == nil {
				_ = response.Body.Close()
			}
		}()
		Eventually(handler.metrics.detours.Count, time.Second).Should(BeEquivalentTo(1))
		time.Sleep(50 * time.Millisecond)
		cancel()
		Eventually(closed, 500*time.Millisecond).Should(BeClosed())
	})
})
