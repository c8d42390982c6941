package resetconn_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/internal/resetconn"
)

// newPair returns both ends of a TCP connection.
func newPair(t *testing.T) (*resetconn.Conn, *net.TCPConn) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	peer, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		_ = conn.Close()
		_ = peer.Close()
	})
	return resetconn.New(conn), peer.(*net.TCPConn)
}

// reset sends data and resets the connection.
func reset(t *testing.T, peer *net.TCPConn, data string) {
	g := NewWithT(t)
	g.Expect(peer.Write([]byte(data))).To(Equal(len(data)))
	g.Expect(peer.SetLinger(0)).To(Succeed())
	g.Expect(peer.Close()).To(Succeed())
}

// Guards against data that look complete because a peek or a write got the error of a reset.
func TestReadReturnsTheErrorThatAnotherCallGot(t *testing.T) {
	for name, call := range map[string]func(*resetconn.Conn) error{
		"peek":  func(c *resetconn.Conn) error { return c.Peek() },
		"write": func(c *resetconn.Conn) error { _, err := c.Write([]byte("x")); return err },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			conn, peer := newPair(t)
			reset(t, peer, "")
			g.Eventually(func() error { return call(conn) }).Should(MatchError(syscall.ECONNRESET))
			data, err := io.ReadAll(conn)
			g.Expect(data).To(BeEmpty())
			g.Expect(err).To(MatchError(syscall.ECONNRESET))
		})
	}
}

// Guards against bytes that are lost because the connection was reset after them.
func TestBytesBeforeAResetAreRead(t *testing.T) {
	g := NewWithT(t)
	conn, peer := newPair(t)
	reset(t, peer, "data")
	g.Eventually(conn.Peek).Should(Succeed())
	g.Eventually(func() error { _, err := conn.Write([]byte("x")); return err }).Should(HaveOccurred())
	data, err := io.ReadAll(conn)
	g.Expect(string(data)).To(Equal("data"))
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}

// Guards against a reader that waits for a write to a peer that has ended its side and doesn't
// read, and against data that don't count as complete then.
func TestEndOfTheDataEndsAWrite(t *testing.T) {
	g := NewWithT(t)
	conn, peer := newPair(t)
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, 64<<20))
		written <- err
	}()
	g.Expect(peer.Write([]byte("data"))).To(Equal(4))
	g.Expect(peer.CloseWrite()).To(Succeed())
	started := time.Now()
	data, err := io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal("data"))
	g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	g.Eventually(written).Should(Receive(HaveOccurred()))
	_, err = conn.Write([]byte("x"))
	g.Expect(err).To(MatchError(net.ErrClosed))
}
