package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/backend"
)

var _ = Describe("Plain services", func() {
	var e *testEnv
	var runs atomic.Int64
	BeforeEach(func() {
		e = newTestEnv()
		runs.Store(0)
	})
	charge := func(header ...string) callerResponse {
		return e.do("POST", "/services/desk/charges", "5", header...)
	}

	It("forwards path, query and body, but not the caller's API key", func() {
		// Guards against passing on the caller's API key, and against a caller that forges
		// the organisation header.
		var seen *http.Request
		e.addServer(func(rw http.ResponseWriter, r *http.Request) {
			seen = r
			rw.Header().Set("X-Own", "1")
			rw.WriteHeader(201)
			_, _ = io.Copy(rw, r.Body)
		})
		e.start()
		got := e.do("PUT", "/services/desk/a%20b/c?q=1", "body", "Rattanlanding-Organisation", "o9", "X-Hop", "1", "Connection", "X-Hop")
		Expect(got.status).To(Equal(201))
		Expect(got.body).To(Equal("body"))
		Expect(got.header.Get("X-Own")).To(Equal("1"))
		Expect(seen.URL.RequestURI()).To(Equal("/a%20b/c?q=1"))
		Expect(seen.Header.Get("Rattanlanding-Organisation")).To(Equal("o1"))
		Expect(seen.Header).NotTo(Or(HaveKey("Authorization"), HaveKey("X-Hop")))
	})

	It("retries an idempotent call at another server", func() {
		// Guards against an error for a call that another server can run, and against a
		// truncated response delivered as complete.
		serve := func(rw http.ResponseWriter, _ *http.Request) {
			if runs.Add(1) == 1 {
				rw.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(rw, "half")
				return
			}
			_, _ = io.WriteString(rw, "whole")
		}
		e.addServer(serve)
		e.addServer(serve)
		e.start()
		Expect(e.do("GET", "/services/desk/x", "").body).To(Equal("whole"))
		Expect(runs.Load()).To(Equal(int64(2)))
	})

	DescribeTable("runs a non-idempotent call at most once",
		// Guards against a second charge when the connection breaks, or when the response
		// is truncated or belongs to another attempt.
		func(misbehave func(rw http.ResponseWriter), header ...string) {
			serve := func(rw http.ResponseWriter, _ *http.Request) { runs.Add(1); misbehave(rw) }
			e.addServer(serve)
			e.addServer(serve)
			e.start()
			got := charge(header...)
			Expect(got.verdict).To(Equal("may-have-run"))
			if len(header) > 0 {
				Expect(charge(header...).verdict).To(Equal("may-have-run"))
			}
			Expect(runs.Load()).To(Equal(int64(1)))
		},
		Entry("connection broken", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }),
		Entry("connection broken, with idempotency key", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, "Idempotency-Key", "c1"),
		Entry("truncated response, with idempotency key", func(rw http.ResponseWriter) { rw.Header().Set("Content-Length", "9") }, "Idempotency-Key", "c1"),
		Entry("response of another attempt, with idempotency key", func(rw http.ResponseWriter) { rw.Header().Set(backend.HeaderAttempt, "other") }, "Idempotency-Key", "c1"),
		Entry("refusal of another attempt, with idempotency key", func(rw http.ResponseWriter) {
			rw.Header().Set(backend.HeaderAttempt, "other")
			rw.Header().Set("Rattanlanding-Verdict", "not-run")
			rw.WriteHeader(503)
		}, "Idempotency-Key", "c1"),
	)

	It("runs a POST with an idempotency key at most once even if it is not listed", func() {
		// Guards against a second run of a call with an idempotency key that the
		// configuration does not list, when the caller's library repeats it.
		e.addServer(func(rw http.ResponseWriter, _ *http.Request) { runs.Add(1); panic(http.ErrAbortHandler) })
		e.start()
		for range 2 {
			got := e.do("POST", "/services/desk/unlisted", "5", "Idempotency-Key", "u1")
			Expect(got.verdict).To(Equal("may-have-run"))
		}
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	It("answers a repeat with the stored response, per organisation", func() {
		// Guards against a second charge, and against the stored response of another
		// organisation's call.
		e.addServer(func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(rw, r.Header.Get(backend.HeaderOrganisation)+string('0'+rune(runs.Add(1))))
		})
		e.start()
		Expect(charge("Idempotency-Key", "c1").body).To(Equal("o11"))
		again := charge("Idempotency-Key", "c1")
		Expect(again.body).To(Equal("o11"))
		Expect(again.header.Get("Rattanlanding-Replayed")).To(Equal("true"))
		Expect(charge("Idempotency-Key", "c1", "Authorization", "Bearer k3").body).To(Equal("o32"))
		other := e.do("POST", "/services/desk/charges", "6", "Idempotency-Key", "c1")
		Expect(other.status).To(Equal(422))
		Expect(other.verdict).To(Equal("not-run"))
	})

	It("retries a refused call, and releases its claim when all attempts are refused", func() {
		// Guards against an idempotency claim that blocks a call that was never run.
		refuse := true
		e.addServer(func(rw http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			if refuse {
				rw.Header().Set("Rattanlanding-Verdict", "not-run")
				rw.WriteHeader(503)
			}
		})
		e.start()
		Expect(charge("Idempotency-Key", "c1").verdict).To(Equal("not-run"))
		Expect(runs.Load()).To(Equal(int64(3)))
		refuse = false
		Expect(charge("Idempotency-Key", "c1").status).To(Equal(200))
	})

	It("sends nothing without a stored claim, and refuses non-canonical paths", func() {
		// Guards against calls that run without a stored claim during a platform outage,
		// and against path spellings that avoid the list of non-idempotent calls.
		e.addServer(func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		e.start()
		e.claims.Down = true
		for _, path := range []string{"/charges", "/%63harges", "/charges%2F1"} {
			Expect(e.do("POST", "/services/desk"+path, "", "Idempotency-Key", "c1").verdict).To(Equal("not-run"))
		}
		for _, path := range []string{"//charges", "/x/../charges", "/x%2f..%2fcharges", "/./charges"} {
			Expect(e.do("POST", "/services/desk"+path, "").status).To(Equal(400))
		}
		Expect(runs.Load()).To(BeZero())
	})

	It("refuses a body that is shorter than declared or too slow", func() {
		// Guards against sending half of a call to a server, and against slow senders
		// that occupy a request slot.
		e.settings.BodyTimeout = 50 * time.Millisecond
		e.addServer(func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		e.start()
		conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /services/desk/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k1\r\nContent-Length: 9\r\n\r\nhalf")
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(400))
		Expect(response.Header.Get("Rattanlanding-Verdict")).To(Equal("not-run"))
		Expect(runs.Load()).To(BeZero())
	})
})
