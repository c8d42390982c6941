package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

// newServer starts a server that sends the next of the responses to each request on a
// connection. After one with the prefix "close " it closes the connection.
func newServer(responses ...string) (address string, connections *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	connections = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go serveConn(conn, responses)
		}
	}()
	return listener.Addr().String(), connections
}

func serveConn(conn net.Conn, responses []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		response := responses[min(i, len(responses)-1)]
		_, _ = io.WriteString(conn, strings.TrimPrefix(response, "close "))
		if strings.HasPrefix(response, "close ") {
			return
		}
	}
}

func responseWith(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// answerTwice answers each request on a connection, and once more after a pause.
func answerTwice(conn net.Conn, pause time.Duration) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response := responseWith(r.Header.Get("Id"), "answer to "+r.Header.Get("Id"))
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
		time.AfterFunc(pause, func() { _, _ = io.WriteString(conn, response) })
	}
}

// exchangeWithID sends a request and returns the body of the response with its ID.
func exchangeWithID(p *upstream.Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := p.Get(ctx, address, false, 0)
	if err != nil {
		return "", err
	}
	response, err := conn.Do(ctx, &upstream.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {id}},
		IsOwn: func(_ int, h http.Header) bool { return h.Get("Id") == id }})
	if err != nil {
		return "", err
	}
	defer response.Abort()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// exchange sends a request with the ID "r" and returns the body of its response.
func exchange(p *upstream.Pool, address string, watch upstream.Watch) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := p.Get(ctx, address, false, 0)
	if err != nil {
		return "", err
	}
	response, err := conn.Do(ctx, &upstream.Request{Method: "POST", Target: "/x", Host: "h", Body: [][]byte{[]byte("b")}, Watch: watch,
		IsOwn: func(_ int, h http.Header) bool { return h.Get("Id") == "r" }})
	if err != nil {
		return "", err
	}
	defer response.Abort()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

var _ = Describe("Conn", func() {
	It("reuses a connection after a complete response", func() {
		// Guards against a new connection for each request.
		address, connections := newServer(responseWith("r", "one"))
		p := upstream.NewPool(upstream.Config{})
		for range 3 {
			Expect(exchange(p, address, nil)).To(Equal("one"))
		}
		Expect(connections.Load()).To(BeEquivalentTo(1))
		p.CloseIdle(func(string) bool { return false })
		Expect(exchange(p, address, nil)).To(Equal("one"))
		Expect(connections.Load()).To(BeEquivalentTo(2))
	})

	It("skips responses to other requests and closes a connection with unsolicited bytes", func() {
		// Guards against returning the response to another request.
		address, connections := newServer(responseWith("other", "crossed")+responseWith("r", "mine")+responseWith("late", "extra"), responseWith("r", "again"))
		p := upstream.NewPool(upstream.Config{})
		Expect(exchange(p, address, nil)).To(Equal("mine"))
		Expect(exchange(p, address, nil)).To(Equal("mine"))
		Expect(connections.Load()).To(BeEquivalentTo(2))
	})

	It("doesn't reuse a connection on which a response to another request arrived", func() {
		// Guards against a server that answers each request on a connection with the
		// response to the one before it.
		address, connections := newServer(responseWith("earlier", "crossed")+responseWith("r", "mine"), responseWith("r", "again"))
		p := upstream.NewPool(upstream.Config{})
		Expect(exchange(p, address, nil)).To(Equal("mine"))
		Expect(exchange(p, address, nil)).To(Equal("mine"))
		Expect(connections.Load()).To(BeEquivalentTo(2))
	})

	DescribeTable("never returns a late copy of another response",
		func(pause time.Duration) {
			// Guards against a copy that arrives before, with or after the next request on a
			// kept connection.
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go answerTwice(conn, pause)
				}
			}()
			p := upstream.NewPool(upstream.Config{})
			for i := range 20 {
				id := fmt.Sprint("r", i)
				body, err := exchangeWithID(p, listener.Addr().String(), id)
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(Equal("answer to " + id))
				time.Sleep(time.Duration(i%4) * time.Millisecond)
			}
		},
		Entry("at once", time.Duration(0)), Entry("after 1 ms", time.Millisecond), Entry("after 3 ms", 3*time.Millisecond),
	)

	DescribeTable("returns an error for an incomplete response",
		func(response string) {
			// Guards against an incomplete response that looks complete.
			address, _ := newServer("close " + response)
			_, err := exchange(upstream.NewPool(upstream.Config{}), address, nil)
			Expect(err).To(HaveOccurred())
		},
		Entry("short length", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 9\r\n\r\nshort"),
		Entry("broken chunk", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"),
		Entry("missing last chunk", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"),
		Entry("no HTTP", "hello\r\n\r\n"),
		Entry("nothing", ""),
	)

	It("ends a read with the watch's error", func() {
		// Guards against an engine that accepts a request and sends nothing.
		address, _ := newServer("HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 5\r\n\r\nab")
		errStalled := errors.New("stalled")
		_, err := exchange(upstream.NewPool(upstream.Config{}), address, func(d time.Duration) (time.Duration, error) {
			if d >= 100*time.Millisecond {
				return 0, errStalled
			}
			return 100*time.Millisecond - d, nil
		})
		Expect(err).To(MatchError(errStalled))
	})

	It("doesn't take a reset during the watch's last call for the end of a body", func() {
		// Guards against an incomplete body that looks complete after this process was
		// suspended: looking for unread bytes consumes the error of the reset connection.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		reset := make(chan struct{})
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r\r\n\r\nab")
			<-reset
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}()
		reads := 0
		body, err := exchange(upstream.NewPool(upstream.Config{}), listener.Addr().String(), func(time.Duration) (time.Duration, error) {
			if reads++; reads == 1 {
				return time.Second, nil
			}
			close(reset)
			time.Sleep(50 * time.Millisecond)
			return 0, errors.New("suspended")
		})
		Expect(body).To(Equal("ab"))
		Expect(err).To(HaveOccurred())
	})

	It("doesn't take a reset that Pending saw for the end of a body", func() {
		// Guards against an incomplete body that looks complete because the connection was
		// reset while another engine was asked to go on: looking for unread bytes consumes the
		// error.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		reset := make(chan struct{})
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r\r\n\r\nab")
			<-reset
			_, _ = io.WriteString(conn, "cd")
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}()
		conn, err := upstream.NewPool(upstream.Config{}).Get(context.Background(), listener.Addr().String(), true, 0)
		Expect(err).NotTo(HaveOccurred())
		response, err := conn.Do(context.Background(), &upstream.Request{Method: http.MethodGet, Target: "/x", Host: "h",
			IsOwn: func(int, http.Header) bool { return true }})
		Expect(err).NotTo(HaveOccurred())
		defer response.Abort()
		read := func(n int) (string, error) {
			b := make([]byte, n)
			_, err := io.ReadFull(response.Body, b)
			return string(b), err
		}
		Expect(read(2)).To(Equal("ab"))
		Expect(response.Pending()).To(BeFalse())
		close(reset)
		Eventually(response.Pending).Should(BeTrue())
		Expect(read(2)).To(Equal("cd"))
		Eventually(response.Pending).Should(BeTrue())
		_, err = read(1)
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	It("opens no more connections than allowed", func() {
		// Guards against connections that a backend server would reset.
		address, _ := newServer(responseWith("r", "one"))
		p := upstream.NewPool(upstream.Config{})
		_, err := p.Get(context.Background(), address, true, 1)
		Expect(err).NotTo(HaveOccurred())
		_, err = p.Get(context.Background(), address, true, 1)
		Expect(err).To(MatchError(upstream.ErrNoConnection))
	})
})

var _ = Describe("EndToEnd", func() {
	It("removes hop-by-hop headers", func() {
		// Guards against a caller that controls the connection between node and backend server.
		h := http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Transfer-Encoding": {"chunked"},
			"Keep-Alive": {"timeout=1"}, "Accept": {"a"}}
		Expect(upstream.EndToEnd(h)).To(Equal(http.Header{"Accept": {"a"}}))
	})
})
