package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// writeUnframed writes a response with neither a length nor chunks, and closes or resets its
// connection.
func writeUnframed(w http.ResponseWriter, body string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(conn)
	_, _ = io.WriteString(conn, "\r\n"+body)
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

var _ = Describe("Backend servers whose responses end with their connection", func() {
	var e *testEnv
	BeforeEach(func() { e = newTestEnv() })

	// serve makes each first attempt write what first returns, and each later one the
	// remaining tokens.
	serve := func(first func(a attempt) string, reset bool) {
		var attempts atomic.Int64
		for range 2 {
			e.addEngine(func(a attempt) {
				if attempts.Add(1) == 1 {
					writeUnframed(a.w, first(a), reset)
					return
				}
				writeUnframed(a.w, a.events(len(a.Resume), len(a.Resume)+a.MaxTokens)+endMarker, false)
			})
		}
		e.start()
	}

	DescribeTable("completions are delivered whole",
		func(first func(a attempt) string, reset bool, attempts int) {
			// Guards against a stream that was broken off and looks complete, and against a
			// failure in place of a complete one.
			serve(first, reset)
			got := e.do("POST", "/v1/completions", streamedRequest)
			Expect(streamedText(got.body)).To(Equal(fullText))
			Expect(got.body).To(HaveSuffix(endMarker))
			Expect(strings.Count(got.body, endMarker)).To(Equal(1))
			Expect(e.receivedAttempts()).To(HaveLen(attempts))
			Expect(e.do("POST", "/v1/completions", bufferedRequest).body).To(ContainSubstring(`"text":"` + fullText + `"`))
		},
		Entry("whole", func(a attempt) string { return a.events(0, 4) + endMarker }, false, 1),
		Entry("ended before the first event", func(attempt) string { return "" }, false, 2),
		Entry("ended within an event", func(a attempt) string { return a.events(0, 2) + `data: {"choi` }, false, 2),
		Entry("ended before the end of a line", func(a attempt) string { return strings.TrimSpace(a.events(0, 2)) }, false, 2),
		Entry("ended between events", func(a attempt) string { return a.events(0, 2) }, false, 2),
		Entry("ended after the last event", func(a attempt) string { return a.events(0, 4) }, false, 2),
		Entry("ended within the end marker", func(a attempt) string { return a.events(0, 4) + "data: [DO" }, false, 2),
		Entry("reset between events", func(a attempt) string { return a.events(0, 2) }, true, 2),
	)

	It("a stream that breaks off at every engine ends with an error event", func() {
		// Guards against a truncated stream that looks complete.
		for range 2 {
			e.addEngine(func(a attempt) { writeUnframed(a.w, a.events(len(a.Resume), 1)+"data: {", false) })
		}
		e.start()
		got := e.do("POST", "/v1/completions", streamedRequest)
		Expect(streamedText(got.body)).To(Equal("t0 "))
		Expect(got.body).To(ContainSubstring("event: error"))
		Expect(got.body).NotTo(ContainSubstring(endMarker))
	})

	DescribeTable("plain answers are delivered whole or not at all",
		func(method, digest string, reset bool, status, runs int) {
			// Guards against an answer that was reset and looks complete (MIXED), and against a
			// failure in place of a complete one.
			var attempts atomic.Int64
			for range 2 {
				e.addServer(func(w http.ResponseWriter, _ *http.Request) {
					if digest != "" {
						w.Header().Set("Content-Digest", digest)
					}
					first := attempts.Add(1) == 1
					writeUnframed(w, "abc", reset && first)
				})
			}
			e.start()
			got := e.do(method, "/services/desk/x", "")
			Expect(got.status).To(Equal(status))
			if status == http.StatusOK {
				Expect(got.body).To(Equal("abc"))
			} else {
				Expect(got.verdict).To(Equal("may-have-run"))
			}
			Expect(attempts.Load()).To(BeEquivalentTo(runs))
		},
		Entry("closed", "GET", "", false, 200, 1),
		Entry("closed, not repeatable", "POST", "", false, 200, 1),
		Entry("closed, with its digest", "POST", "sha-256=:ungWv48Bz+pBQUDeXa4iI7ADYaOWF3qctBD/YfIAFa0=:", false, 200, 1),
		Entry("closed too early by its digest", "POST", "sha-256=:AAAA:", false, 502, 1),
		Entry("reset", "GET", "", true, 200, 2),
		Entry("reset, not repeatable", "POST", "", true, 502, 1),
	)
})
