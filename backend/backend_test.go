package backend_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/verdict"
)

func TestBackend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backend")
}

// startServer starts an HTTP server with handler h and returns its address.
func startServer(h http.HandlerFunc) string {
	server := httptest.NewServer(h)
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// haveVerdict matches an error with the given verdict and reason.
func haveVerdict(v verdict.Verdict, reason verdict.Reason) OmegaMatcher {
	return WithTransform(func(err error) string {
		e := verdict.Of(err)
		return fmt.Sprint(e.Verdict, " ", e.Reason)
	}, Equal(fmt.Sprint(v, " ", reason)))
}

// echoHeaders echoes the headers by which a response is matched to its attempt.
func echoHeaders(w http.ResponseWriter, r *http.Request) {
	for _, name := range []string{backend.HeaderAttempt, backend.HeaderGroup, backend.HeaderGeneration, backend.HeaderOrganisation} {
		w.Header().Set(name, r.Header.Get(name))
	}
}

var _ = Describe("PlainClient", func() {
	var plain *backend.PlainClient
	BeforeEach(func() { plain = backend.NewPlainClient(metrics.NewRegistry()) })

	call := func(address string) backend.Call {
		return backend.Call{ID: "a1", Address: address, Method: http.MethodGet, Header: http.Header{}}
	}

	It("accepts a response that matches its digest", func() {
		// Guards against a digest check that refuses every response.
		response, err := plain.Do(context.Background(), call(startServer(func(w http.ResponseWriter, r *http.Request) {
			echoHeaders(w, r)
			w.Header().Set("Content-Digest", "md5=:AA==:, sha-256=:ungWv48Bz+pBQUDeXa4iI7ADYaOWF3qctBD/YfIAFa0=:")
			_, _ = io.WriteString(w, "abc")
		})))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal("abc"))
	})

	It("reports a failed dial as not run and a broken connection as may have run", func() {
		// Guards against a not-run verdict for a request of which bytes were sent.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		listener.Close()
		_, err = plain.DoOnce(context.Background(), call(address))
		Expect(err).To(haveVerdict(verdict.NotRun, verdict.ReasonBackendFailed))
		broken := startServer(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		_, err = plain.DoOnce(context.Background(), call(broken))
		Expect(err).To(haveVerdict(verdict.MayHaveRun, verdict.ReasonBackendFailed))
	})

	DescribeTable("refuses responses that are incomplete or belong to another attempt",
		// Guards against accepting responses of other attempts and truncated or unbounded
		// responses, and against a not-run verdict from the refusal of another attempt.
		func(h http.HandlerFunc, v verdict.Verdict, reason verdict.Reason) {
			_, err := plain.Do(context.Background(), call(startServer(h)))
			Expect(err).To(haveVerdict(v, reason))
		},
		Entry("response of another attempt", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(backend.HeaderAttempt, "a2")
		}), verdict.MayHaveRun, verdict.ReasonWrongAnswer),
		Entry("refusal of another attempt", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(backend.HeaderAttempt, "a2")
			w.Header().Set(verdict.Header, "not-run")
			w.WriteHeader(503)
		}), verdict.MayHaveRun, verdict.ReasonWrongAnswer),
		Entry("refusal of this attempt", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			echoHeaders(w, r)
			w.Header().Set(verdict.Header, "not-run")
			w.WriteHeader(503)
		}), verdict.NotRun, verdict.ReasonBackendFailed),
		Entry("truncated body", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			echoHeaders(w, r)
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "short")
		}), verdict.MayHaveRun, verdict.ReasonIncompleteAnswer),
		Entry("digest of another body", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			echoHeaders(w, r)
			w.Header().Set("Content-Digest", "sha-256=:ungWv48Bz+pBQUDeXa4iI7ADYaOWF3qctBD/YfIAFa0=:")
			_, _ = io.WriteString(w, "abcabc")
		}), verdict.MayHaveRun, verdict.ReasonWrongAnswer),
		Entry("body without a length, reset", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRattanlanding-Attempt: a1\r\nConnection: close\r\n\r\npart")
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}), verdict.MayHaveRun, verdict.ReasonIncompleteAnswer),
		Entry("body too large", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			echoHeaders(w, r)
			_, _ = w.Write(make([]byte, backend.MaxResponseBytes+1))
		}), verdict.Ran, verdict.ReasonIncompleteAnswer),
	)
})

var _ = Describe("EngineClient", func() {
	var engines *backend.EngineClient
	BeforeEach(func() { engines = backend.NewEngineClient(metrics.NewRegistry()) })

	complete := func(h http.HandlerFunc) ([]string, error) {
		stream, err := engines.Complete(context.Background(), backend.Attempt{ID: "a1", Address: startServer(h),
			Group: "g1", Generation: 7, Organisation: "o1", Body: []byte(`{}`)})
		if err != nil {
			return nil, err
		}
		defer stream.Close()
		var texts []string
		for {
			event, err := stream.Next()
			if err != nil {
				return texts, err
			}
			texts = append(texts, event.Text)
		}
	}
	stream := func(lines ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			echoHeaders(w, r)
			_, _ = io.WriteString(w, strings.Join(lines, "\n\n")+"\n\n")
		}
	}
	const t0, t1 = `data: {"position":0,"choices":[{"text":"a"}]}`, `data: {"position":1,"choices":[{"text":"b"}]}`

	It("reads lines that are longer than its buffer", func() {
		// Guards against a long token that is truncated or ends the stream.
		long := strings.Repeat("x", 20_000)
		texts, err := complete(stream(`data: {"choices":[{"text":"`+long+`"}]}`, t1, "data: [DONE]"))
		Expect(err).To(Equal(io.EOF))
		Expect(texts).To(Equal([]string{long, "b"}))
	})

	It("reads complete streams and drops repeated events", func() {
		// Guards against delivering a token twice when the engine repeats its event.
		texts, err := complete(stream(t0, t0, t1, "data: [DONE]"))
		Expect(err).To(Equal(io.EOF))
		Expect(texts).To(Equal([]string{"a", "b"}))
	})

	DescribeTable("refuses streams that are truncated, mixed up or have gaps",
		// Guards against tokens of another attempt, lost tokens and a truncated stream
		// that looks complete.
		func(reason verdict.Reason, lines ...string) {
			_, err := complete(stream(lines...))
			Expect(err).To(haveVerdict(verdict.MayHaveRun, reason))
		},
		Entry("no end marker", verdict.ReasonIncompleteAnswer, t0, t1),
		Entry("missing token", verdict.ReasonWrongAnswer, t1, "data: [DONE]"),
		Entry("event of another attempt", verdict.ReasonWrongAnswer, `data: {"attempt":"a2","choices":[{"text":"x"}]}`, "data: [DONE]"),
		Entry("line too long", verdict.ReasonWrongAnswer, "data: "+strings.Repeat("x", 70_000)),
		Entry("error event", verdict.ReasonBackendFailed, t0, "event: error\ndata: {}"),
	)

	DescribeTable("checks the echoed headers before it returns a token",
		// Guards against delivering tokens of a response that belongs to another attempt,
		// group, generation or organisation.
		func(name, value string) {
			texts, err := complete(func(w http.ResponseWriter, r *http.Request) {
				echoHeaders(w, r)
				w.Header().Set(name, value)
				_, _ = io.WriteString(w, t0+"\n\ndata: [DONE]\n\n")
			})
			Expect(err).To(haveVerdict(verdict.MayHaveRun, verdict.ReasonWrongAnswer))
			Expect(texts).To(BeEmpty())
		},
		Entry("other attempt", backend.HeaderAttempt, "a2"),
		Entry("other group", backend.HeaderGroup, "g2"),
		Entry("older generation", backend.HeaderGeneration, "6"),
		Entry("other organisation", backend.HeaderOrganisation, "o2"),
	)

	It("does not report the verdict not-run for the refusal of another attempt", func() {
		// Guards against a wrong not-run verdict when the response of another attempt
		// arrives.
		_, err := complete(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(backend.HeaderAttempt, "a2")
			w.Header().Set(verdict.Header, "not-run")
			w.WriteHeader(503)
		})
		Expect(err).To(haveVerdict(verdict.MayHaveRun, verdict.ReasonWrongAnswer))
	})

	It("distinguishes a refused fencing token from other failures", func() {
		// Guards against a placement holder that lost its lease and keeps sending its old
		// command, because it does not recognise the refusal.
		address := startServer(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) })
		_, err := engines.Command(context.Background(), address, fleet.Command{Generation: 3})
		var fenced *backend.FencedError
		Expect(errors.As(err, &fenced)).To(BeTrue())
		Expect(fenced.Generation).To(Equal(fleet.Generation(3)))
	})

	It("keeps probes small and counts their bytes", func() {
		// Guards against unnecessary headers of probes, which cost bandwidth for every
		// engine every second.
		registry := metrics.NewRegistry()
		engines = backend.NewEngineClient(registry)
		var header http.Header
		address := startServer(func(w http.ResponseWriter, r *http.Request) {
			header = r.Header
			_, _ = io.WriteString(w, `{"instance":"i1","state":"ready"}`)
		})
		report, err := engines.Status(context.Background(), address)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Instance).To(Equal("i1"))
		Expect(header).To(BeEmpty())
		sent := metrics.GetOrRegisterCounter("backend.engine.control.sent", registry).Count()
		Expect(sent).To(And(BeNumerically(">", 0), BeNumerically("<", 100)))
	})
})
