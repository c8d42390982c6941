package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Sizes of the crowds.
const (
	// senders is the number of clients that send bodies or heads. All of their bodies
	// together are larger than the memory of the process.
	senders = 128
	// holders is the number of clients that only hold connections. It is above the limit
	// of the process's descriptors.
	holders = 300
	// listeners is the number of clients that read no response.
	listeners = 64
	// finishing divides a crowd; the quotient is the number of clients that send their
	// request to its end.
	finishing = 8
	// sendTime is how long a crowd may send before the checks. A client whose bytes aren't
	// read gets stuck.
	sendTime = time.Second
	// readTime is the time after that in which a node reads what it has received.
	readTime = 500 * time.Millisecond
)

// client sends what a client of a crowd sends, of which number is the place in the crowd. The
// connection stays open afterwards.
type client func(n *node, conn net.Conn, number int)

// finishes reports whether a client sends its request to its end.
func finishes(number int) bool { return number%finishing == 0 }

// mixed returns a crowd of two kinds of clients.
func mixed(a, b client) client {
	return func(n *node, conn net.Conn, number int) {
		if number%2 == 0 {
			a(n, conn, number/2)
		} else {
			b(n, conn, number/2)
		}
	}
}

// checkCrowd checks a node under a crowd.
func checkCrowd(t *testing.T, start func(*testing.T) *node, size int, behave client) {
	g := NewWithT(t)
	n := start(t)
	var sending sync.WaitGroup
	conns := make([]net.Conn, size)
	for i := range size {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", n.address, 5*time.Second)
			if err != nil {
				return
			}
			conns[i] = conn
			// Ends the writes of a client that got stuck.
			_ = conn.SetDeadline(time.Now().Add(sendTime))
			behave(n, conn, i)
		})
	}
	sending.Wait()
	time.Sleep(readTime)
	n.checkBounds(g, "under the crowd")
	n.expectAnswer(g, "a small request under the crowd", 1<<10)
	n.checkBounds(g, "after a request under the crowd")
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
	n.expectAnswer(g, "a request of the largest size after the crowd", maxBodyBytes)
	n.checkBounds(g, "after the crowd")
}

// body is a legal body.
var body = bytes.Repeat([]byte("b"), maxBodyBytes)

// unsent is the part of a body that a client holds back unless it finishes.
func unsent(number int) int {
	if finishes(number) {
		return 0
	}
	return 1
}

// sendWhole sends a legal body with one write.
func sendWhole(n *node, conn net.Conn, number int) {
	_, _ = io.WriteString(conn, n.head("PUT", "?size=1")+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)))
	_, _ = conn.Write(body[unsent(number):])
}

// sendPieces sends a legal body piece by piece.
func sendPieces(n *node, conn net.Conn, number int) {
	const piece = 16 << 10
	_, _ = io.WriteString(conn, n.head("PUT", "?size=1")+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)))
	for rest := body[unsent(number):]; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
		if _, err := conn.Write(rest[:min(piece, len(rest))]); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// chunks returns a legal body in chunks of a size, without the last chunk.
func chunks(size int) []byte {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, bytes.Repeat([]byte("b"), size))
	return bytes.Repeat([]byte(chunk), maxBodyBytes/size)
}

// sendChunks returns a client that sends a body in chunks.
func sendChunks(size int) client {
	text := chunks(size)
	return func(n *node, conn net.Conn, number int) {
		_, _ = io.WriteString(conn, n.head("PUT", "?size=1")+chunked)
		if _, err := conn.Write(text); err == nil && finishes(number) {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}
}

// oversized is how many times larger than allowed the bodies are that are over the limit.
const oversized = 16

// sendOversized announces a body over the limit and sends it.
func sendOversized(n *node, conn net.Conn, _ int) {
	_, _ = io.WriteString(conn, n.head("PUT", "?size=1")+fmt.Sprintf("Content-Length: %d\r\n\r\n", oversized*maxBodyBytes))
	for range oversized {
		if _, err := conn.Write(body); err != nil {
			return
		}
	}
}

// sendOversizedChunks sends a body over the limit without announcing it.
func sendOversizedChunks(n *node, conn net.Conn, _ int) {
	text := chunks(64 << 10)
	_, _ = io.WriteString(conn, n.head("PUT", "?size=1")+chunked)
	for range oversized {
		if _, err := conn.Write(text); err != nil {
			return
		}
	}
}

// maxHeaderBytes is the largest head in both modes.
const maxHeaderBytes = 64 << 10

// trickleHead sends a head of many short lines piece by piece, and not its end.
func trickleHead(n *node, conn net.Conn, _ int) {
	head := strings.Builder{}
	head.WriteString(n.head("PUT", "?size=1"))
	for i := 0; head.Len() < maxHeaderBytes-1<<10; i++ {
		fmt.Fprintf(&head, "%x:\r\n", 0x1000+i)
	}
	const piece = 1 << 10
	for rest := head.String(); rest != ""; rest = rest[min(piece, len(rest)):] {
		if _, err := io.WriteString(conn, rest[:min(piece, len(rest))]); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// holdNew opens a connection and sends nothing.
func holdNew(*node, net.Conn, int) {}

// holdKept sends one request, reads its response and keeps the connection.
func holdKept(n *node, conn net.Conn, _ int) {
	_, _ = io.WriteString(conn, n.head("GET", "?size=1")+"\r\n")
	if response, err := readResponse(conn); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// pipelined is the number of requests that a client sends without reading a response.
const pipelined = 16

// pipeline sends requests for large responses and reads none.
func pipeline(n *node, conn net.Conn, _ int) {
	// If it fails, the kernel keeps more of the responses than it has to.
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	request := n.head("GET", fmt.Sprintf("?size=%d", maxBodyBytes)) + "\r\n"
	_, _ = io.WriteString(conn, strings.Repeat(request, pipelined))
	time.Sleep(sendTime)
}

// ignoreStream sends a request for a stream and doesn't read it.
func ignoreStream(n *node, conn net.Conn, _ int) {
	// If it fails, the kernel keeps more of the stream than it has to.
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = io.WriteString(conn, n.stream)
	time.Sleep(sendTime)
}

func readResponse(conn net.Conn) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(conn), nil)
}
