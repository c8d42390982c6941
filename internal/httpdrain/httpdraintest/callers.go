// Package httpdraintest has callers for tests of servers that stop.
package httpdraintest

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"github.com/onsi/gomega"
)

// answerTimeout bounds the time for a response.
const answerTimeout = 3 * time.Second

// Callers are connections that have sent one request each.
type Callers []net.Conn

// Queue opens n connections to an address and sends a request on each.
func Queue(g gomega.Gomega, address string, n int) Callers {
	var callers Callers
	for range n {
		conn, err := net.Dial("tcp4", address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		callers = append(callers, conn)
	}
	return callers
}

// ExpectStatus reads the response of each caller, expects its status and closes the
// connection.
func (c Callers) ExpectStatus(g gomega.Gomega, status int) {
	for i, conn := range c {
		g.Expect(conn.SetReadDeadline(time.Now().Add(answerTimeout))).To(gomega.Succeed())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred(), "caller %d", i)
		g.Expect(response.StatusCode).To(gomega.Equal(status))
		g.Expect(conn.Close()).To(gomega.Succeed())
	}
}
