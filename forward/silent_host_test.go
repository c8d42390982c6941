package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/quarantine"
)

// listenSilent starts a server that sends a part of its response to one request and no more.
// From then on nothing answers at its address, as if its host had failed.
func listenSilent(part string) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(syscall.Listen(fd, 0)).To(Succeed())
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	listener, err := net.FileListener(file)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, part)
		// The queue of connections is full after a few, and further ones aren't answered.
		for err == nil {
			_, err = net.DialTimeout("tcp", listener.Addr().String(), 50*time.Millisecond)
		}
	}()
	return listener.Addr().String()
}

var _ = Describe("Handler with an engine whose host fails in the middle of a stream", func() {
	DescribeTable("reports the engine as crashed only if nothing answers at its address", func(listen func(string) string, crashed bool) {
		// Guards against a request that silences one engine after the other and is never
		// refused (BUDGET), and against blame for an engine that stands still.
		const first, rest = "id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n"
		for attempt := range 20 {
			handler, silent := sendToSilent(listen(okHead+first), "r"+strconv.Itoa(attempt), unframedHead+rest+"CLOSE")
			if !silent {
				continue
			}
			reported := func() bool { return !handler.Quarantine.Report()[quarantine.Requests].Empty() }
			if crashed {
				Eventually(reported, 3*time.Second).Should(BeTrue())
			} else {
				Consistently(reported, time.Second).Should(BeFalse())
			}
			return
		}
		Fail("the silent engine was never chosen")
	},
		Entry("nothing answers", listenSilent, true),
		Entry("the engine stands still", func(part string) string { return listenPausing(10*time.Second, part, "") }, false),
	)
})

// sendToSilent sends a request to a node with two engines, and reports whether the silent one
// got it first.
func sendToSilent(silent, id, script string) (*Handler, bool) {
	other := &scriptedServer{scripts: []string{script, script}}
	node := newScriptedNode(silent, other.listen())
	status, _, complete := sendScripted(node, "/stream/x", id)
	Expect(status).To(Equal(http.StatusOK))
	Expect(complete).To(BeTrue())
	handler := node.Config.Handler.(*Handler)
	return handler, handler.metrics.retries.Count() > 0
}
