package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/upstream"
)

// noMemory is a Memory that is used up.
type noMemory struct{}

func (noMemory) TryAcquire(int64) bool { return false }
func (noMemory) Release(int64)         {}

var _ = DescribeTable("A response without memory for large heads", func(parts []string, want error) {
	// Guards against sound responses that fail because faulty servers use the memory up.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for _, part := range parts {
			_, _ = io.WriteString(conn, part)
			time.Sleep(20 * time.Millisecond)
		}
	}()
	conn, err := upstream.NewPool(upstream.Config{}).Get(context.Background(), listener.Addr().String(), true, 0)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	response, err := conn.Do(context.Background(), &upstream.Request{Method: http.MethodGet, Target: "/x", Host: "h", Memory: noMemory{},
		IsOwn: func(int, http.Header) bool { return true }})
	if want != nil {
		Expect(err).To(MatchError(want))
		return
	}
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(body).To(HaveLen(20_000))
},
	Entry("head in two parts, the second with the body", []string{"HTTP/1.1 200 OK\r\nContent-Le", "ngth: 20000\r\n\r\n" + strings.Repeat("x", 20_000)}, nil),
	Entry("large head", []string{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 10_000) + "\r\nContent-Length: 0\r\n\r\n"}, upstream.ErrNoMemory),
)
