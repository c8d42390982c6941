package entry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/internal/httpdrain"
)

// keptConnection is a caller's connection that is used for several requests.
type keptConnection struct {
	g      *WithT
	conn   net.Conn
	reader *bufio.Reader
}

// ask sends a request with a header of about the given size and returns its response.
func (c *keptConnection) ask(header int) *http.Response {
	_, err := fmt.Fprintf(c.conn, "GET / HTTP/1.1\r\nHost: a\r\nX-Pad: %s\r\n\r\n", strings.Repeat("p", header))
	c.g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(c.reader, nil)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(response.Body.Close()).To(Succeed())
	return response
}

// limitedServer returns a server for callers with limits, and a function that connects to it.
func limitedServer(t *testing.T, g *WithT, limits catalog.Limits) (*callerServer, func() *keptConnection) {
	listener, err := httpdrain.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), listener, nil, log.NewNopLogger())
	s.applyLimits(limits)
	go func() { _ = s.run() }()
	t.Cleanup(func() { _ = listener.Close() })
	return s, func() *keptConnection {
		conn, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = conn.Close() })
		return &keptConnection{g, conn, bufio.NewReader(conn)}
	}
}

// Guards against kept connections that answer 431 after the limit was raised, and against a
// lowered one that doesn't reach them.
func TestNewHeaderLimitsReachOpenConnections(t *testing.T) {
	g := NewWithT(t)
	s, connect := limitedServer(t, g, catalog.Limits{MaxHeaderBytes: 16 << 10})
	kept := connect()
	g.Expect(kept.ask(10 << 10).StatusCode).To(Equal(http.StatusNoContent))
	g.Expect(connect().ask(24 << 10).StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	s.applyLimits(catalog.Limits{MaxHeaderBytes: 64 << 10})
	response := kept.ask(24 << 10)
	g.Expect(response.StatusCode).To(Equal(http.StatusNoContent))
	g.Expect(response.Close).To(BeFalse(), "the connection is kept")
	s.applyLimits(catalog.Limits{MaxHeaderBytes: 8 << 10})
	g.Expect(kept.ask(6 << 10).StatusCode).To(Equal(http.StatusNoContent))
	response = kept.ask(24 << 10)
	g.Expect(response.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(response.Close).To(BeTrue())
}

// Guards against connections that keep the timeouts of an earlier configuration for good.
func TestNewTimeoutsReachOpenConnectionsWithTheirNextResponse(t *testing.T) {
	for name, limits := range map[string]catalog.Limits{
		"raised idle time":    {IdleTimeout: time.Hour, HeaderTimeout: time.Minute},
		"lowered idle time":   {IdleTimeout: 10 * time.Second, HeaderTimeout: time.Minute},
		"raised header time":  {IdleTimeout: time.Minute, HeaderTimeout: time.Hour},
		"lowered header time": {IdleTimeout: time.Minute, HeaderTimeout: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, connect := limitedServer(t, g, catalog.Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Minute})
			kept := connect()
			g.Expect(kept.ask(10).Close).To(BeFalse())
			s.applyLimits(limits)
			response := kept.ask(10)
			g.Expect(response.StatusCode).To(Equal(http.StatusNoContent))
			g.Expect(response.Close).To(BeTrue())
			fresh := connect()
			g.Expect(fresh.ask(10).Close).To(BeFalse())
			s.applyLimits(limits)
			g.Expect(fresh.ask(10).Close).To(BeFalse(), "the limits are unchanged")
		})
	}
}
