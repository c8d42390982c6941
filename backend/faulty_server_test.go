package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// scriptedServer starts a server that writes the scripts in turn as responses, on whatever
// connection the requests arrive, and returns its address and the number of requests. In a
// script, ID stands for the attempt; one that ends in CLOSE closes the connection.
func scriptedServer(scripts ...string) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	requests := &atomic.Int64{}
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			script := scripts[min(int(requests.Add(1)), len(scripts))-1]
			script, closes := strings.CutSuffix(script, "CLOSE")
			script = strings.ReplaceAll(script, "ID", request.Header.Get(backend.HeaderAttempt))
			if _, err := io.WriteString(conn, script); err != nil || closes {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String(), requests
}

const (
	soundResponse = "HTTP/1.1 200 OK\r\nRattanlanding-Attempt: ID\r\nContent-Length: 2\r\n\r\nok"
	oldRefusal    = "HTTP/1.1 503 Busy\r\nRattanlanding-Attempt: earlier\r\nRattanlanding-Verdict: not-run\r\nContent-Length: 0\r\n\r\n"
)

var _ = Describe("PlainClient with a server that writes an earlier refusal once more", func() {
	DescribeTable("doesn't report that the call was not run",
		func(script string, once bool) {
			// Guards against callers who are told that a call was not run although it was
			// (REFUSED), and against its repetition (TWICE).
			address, requests := scriptedServer(soundResponse, script, soundResponse)
			plain := backend.NewPlainClient(metrics.NewRegistry())
			do := func(id string) (backend.Response, error) {
				call := backend.Call{ID: id, Address: address, Method: http.MethodPost, Header: http.Header{}, Body: []byte("x")}
				if once {
					return plain.DoOnce(context.Background(), call)
				}
				return plain.Do(context.Background(), call)
			}
			_, err := do("first")
			Expect(err).NotTo(HaveOccurred())
			response, err := do("second")
			if err != nil {
				Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
			} else {
				Expect(string(response.Body)).To(Equal("ok"))
			}
			Expect(requests.Load()).To(BeEquivalentTo(2))
			response, err = do("third")
			if err != nil {
				Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
			} else {
				Expect(string(response.Body)).To(Equal("ok"))
			}
		},
		Entry("before the response", oldRefusal+soundResponse, false),
		Entry("before the response to a call that must not be repeated", oldRefusal+soundResponse, true),
		Entry("after the response", soundResponse+oldRefusal, false),
		Entry("after the response to a call that must not be repeated", soundResponse+oldRefusal, true),
		Entry("in place of the response", oldRefusal+"CLOSE", true),
	)
})

var _ = Describe("Clients with a server that stops within the head of its response", func() {
	DescribeTable("return an error",
		func(head string) {
			// Guards against a response with an empty or short body that counts as whole
			// (MIXED, ORDER).
			address, _ := scriptedServer(head + "CLOSE")
			_, err := backend.NewPlainClient(metrics.NewRegistry()).DoOnce(context.Background(),
				backend.Call{ID: "a1", Address: address, Method: http.MethodPost, Header: http.Header{}})
			Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
			stream, err := backend.NewEngineClient(metrics.NewRegistry()).Complete(context.Background(), backend.Attempt{ID: "a1", Address: address})
			if err == nil {
				_, err = stream.Next()
				Expect(stream.Close()).To(Succeed())
			}
			Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
		},
		Entry("in the status line", "HTTP/1.1 200 OK"),
		Entry("after the status line", "HTTP/1.1 200 OK\r\n"),
		Entry("in a header", "HTTP/1.1 200 OK\r\nRattanlanding-Attempt: ID\r\nContent-Le"),
		Entry("after a header", "HTTP/1.1 200 OK\r\nRattanlanding-Attempt: ID\r\nContent-Length: 2\r\n"),
		Entry("before the blank line", "HTTP/1.1 200 OK\r\nRattanlanding-Attempt: ID\r\nTransfer-Encoding: chunked\r\n\r"),
		Entry("before the body", "HTTP/1.1 200 OK\r\nRattanlanding-Attempt: ID\r\nContent-Length: 2\r\n\r\n"),
	)
})

var _ = Describe("Clients with a server that answers with an odd status", func() {
	answer := func(status string) string {
		return "HTTP/1.1 " + status + " x\r\nRattanlanding-Attempt: ID\r\nRattanlanding-Verdict: not-run\r\nContent-Length: 2\r\n\r\nok"
	}
	DescribeTable("return it only if it is a status, and otherwise don't say that the call was not run",
		func(script string, status int) {
			// Guards against a status that is none as the caller's answer (MIXED).
			call := func(address string) backend.Call {
				return backend.Call{ID: "a", Address: address, Method: http.MethodPost, Header: http.Header{}, Body: []byte("x")}
			}
			plain := backend.NewPlainClient(metrics.NewRegistry())
			for _, do := range []func(context.Context, backend.Call) (backend.Response, error){plain.Do, plain.DoOnce} {
				address, _ := scriptedServer(script)
				response, err := do(context.Background(), call(address))
				if status != 0 {
					Expect(err).NotTo(HaveOccurred())
					Expect(response.Status).To(Equal(status))
					continue
				}
				Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
			}
		},
		Entry("000", answer("000"), 0),
		Entry("099", answer("099"), 0),
		Entry("101", "HTTP/1.1 101 x\r\nRattanlanding-Attempt: ID\r\nUpgrade: y\r\nConnection: Upgrade\r\n\r\nCLOSE", 0),
		Entry("199, which is followed by the response", "HTTP/1.1 199 x\r\n\r\n"+soundResponse, http.StatusOK),
		Entry("1000", answer("1000"), 0),
		Entry("999", strings.ReplaceAll(answer("999"), "Rattanlanding-Verdict: not-run\r\n", ""), 999),
	)
})
