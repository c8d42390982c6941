package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// smallestMemory is the memory of the smallest machines that run a node, in bytes.
const smallestMemory = 184 << 20

// sendAndFallSilent starts a server that sends a part of a response to each request and then
// nothing until the client closes the connection.
func sendAndFallSilent(part string) string {
	return listenServing(func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, part)
		_, _ = io.Copy(io.Discard, reader)
	})
}

// shortLines returns the lines of a head with as many headers as fit into a size.
func shortLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

var _ = Describe("Handler with a server that sends an endless body", func() {
	It("sends the next requests to others", func() {
		// Guards against requests that are sent to a faulty server one after the other.
		endless := &endlessServer{start: okHead, part: strings.Repeat("x", 1<<16)}
		others := &scriptedServer{}
		for range 20 {
			others.scripts = append(others.scripts, sound)
		}
		node := newScriptedNode(endless.listen(), others.listen())
		for range 20 {
			status, _, complete := sendScripted(node, "/safe/x", "r")
			Expect(status).To(Equal(http.StatusOK))
			Expect(complete).To(BeTrue())
		}
		Consistently(endless.closed.Load, 200*time.Millisecond).Should(BeNumerically("<=", 1), "requests to the faulty server")
	})
})

var _ = Describe("Handler with many servers that send too much", func() {
	DescribeTable("keeps its memory while they do so at once",
		func(path, part string) {
			// Guards against a process that is killed because servers send what it has to keep.
			const requests = 300
			node := newTestNode(sendAndFallSilent(part))
			runtime.GC()
			var before, now runtime.MemStats
			runtime.ReadMemStats(&before)
			var all sync.WaitGroup
			for range requests {
				all.Go(func() { get(node, path) })
			}
			done := make(chan struct{})
			go func() { all.Wait(); close(done) }()
			peak := uint64(0)
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(100 * time.Millisecond):
					runtime.GC()
					runtime.ReadMemStats(&now)
					peak = max(peak, now.HeapAlloc-min(before.HeapAlloc, now.HeapAlloc))
				}
			}
			GinkgoWriter.Println("peak", peak>>20, "MiB")
			Expect(peak).To(BeNumerically("<", smallestMemory/2))
		},
		Entry("headers", "/plain/", "HTTP/1.1 200 OK\r\nId: r\r\n"+shortLines(60<<10)),
		Entry("long headers", "/plain/", "HTTP/1.1 200 OK\r\nId: r\r\n"+strings.Repeat("X: "+strings.Repeat("y", 4000)+"\r\n", 15)),
		Entry("headers of a stream", "/stream/", "HTTP/1.1 200 OK\r\nId: r\r\n"+shortLines(60<<10)),
		Entry("events", "/stream/", okHead+strings.Repeat("data: x\n", 30<<10)),
	)
})
