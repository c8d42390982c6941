package entry

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a process that runs out of memory because the address of another node belongs
// to a faulty server, which sends a head without end.
func TestGetFromPeerBoundsTheHead(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	var written atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		n, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
		for line := []byte("X: " + strings.Repeat("x", 1000) + "\r\n"); err == nil && written.Load() < 64<<20; n, err = conn.Write(line) {
			written.Add(int64(n))
		}
	}()
	var target any
	g.Expect(getFromPeer(context.Background(), listener.Addr().String(), "/x", 5*time.Second, &target)).NotTo(Succeed())
	g.Eventually(ended).Should(BeClosed())
	// The kernel buffers some megabytes.
	g.Expect(written.Load()).To(BeNumerically("<", 8<<20))
}
