package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/upstream"
)

var _ = Describe("Response.Early", func() {
	It("is true for a response that arrives before the request was sent", func() {
		// Guards against taking the rejection of a long body for a sound run of the request.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.WriteString(conn, "HTTP/1.1 413 x\r\nContent-Length: 0\r\n\r\n")
						time.Sleep(200 * time.Millisecond)
					}
				}()
			}
		}()
		early := func(body int) bool {
			conn, err := upstream.NewPool(upstream.Config{}).Get(context.Background(), listener.Addr().String(), true, 0)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			response, err := conn.Do(context.Background(), &upstream.Request{Method: http.MethodPost, Target: "/x", Host: "h",
				Body: [][]byte{make([]byte, body)}, IsOwn: func(int, http.Header) bool { return true }})
			Expect(err).NotTo(HaveOccurred())
			return response.Early
		}
		Expect(early(64 << 20)).To(BeTrue())
		Expect(early(100)).To(BeFalse())
	})
})
