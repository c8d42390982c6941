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

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/drain"
)

var _ = Describe("A gateway that stops", func() {
	const answers = 600 * time.Millisecond
	grace := drain.Grace{Total: 2 * answers, Answers: answers}
	var e *testEnv
	var runs atomic.Int64
	BeforeEach(func() {
		e = newTestEnv()
		e.settings.PlainTimeout, e.settings.CompletionTimeout, e.settings.BodyTimeout = 5*answers, 5*answers, 5*answers
		e.settings.PickWait = 5 * answers
		runs.Store(0)
		e.addServer(func(_ http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		})
		release := make(chan struct{})
		e.addEngine(func(a attempt) {
			runs.Add(1)
			a.writeTokens(0, 2)
			<-release
			panic(http.ErrAbortHandler)
		})
		e.start()
		DeferCleanup(func() { close(release) })
	})

	DescribeTable("answers a request that its backend server doesn't answer before the end",
		// Guards against requests that are cut at the end of the stop.
		func(method, path, body string, header ...string) {
			began := time.Now()
			time.AfterFunc(answers/3, func() { e.gateway.SetLeaving(grace) })
			got := e.do(method, path, body, header...)
			Expect(time.Since(began)).To(BeNumerically("<", 3*answers))
			if got.status != http.StatusOK {
				Expect(got.verdict).To(Equal("may-have-run"))
			} else {
				Expect(got.body).To(HaveSuffix("\n\n"))
				Expect(got.body).To(ContainSubstring("event: error"))
			}
			Expect(runs.Load()).To(Equal(int64(1)))
		},
		Entry("idempotent", "GET", "/services/desk/x", ""),
		Entry("non-idempotent", "POST", "/services/desk/charges", "5"),
		Entry("with an idempotency key", "POST", "/services/desk/charges", "5", "Idempotency-Key", "c1"),
		Entry("completion", "POST", "/v1/completions", `{"model":"llm","prompt":"x","max_tokens":4}`),
		Entry("stream", "POST", "/v1/completions", `{"model":"llm","prompt":"x","max_tokens":4,"stream":true}`),
	)

	DescribeTable("refuses a request that can't end in time, so that its caller tries another node at once",
		// Guards against requests that are passed on too late for their response to arrive.
		func(method, path, body string) {
			e.gateway.SetLeaving(grace)
			time.Sleep(grace.Total/3 + 20*time.Millisecond)
			began := time.Now()
			got := e.do(method, path, body)
			Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			Expect(got.verdict).To(Equal("not-run"))
			Expect(got.body).To(ContainSubstring(`"draining"`))
			Expect(time.Since(began)).To(BeNumerically("<", answers/3))
			Expect(runs.Load()).To(BeZero())
			// One that its caller gives up before the end is taken.
			got = e.do(method, path, body, "Rattanlanding-Deadline-Ms", "20")
			Expect(got.verdict).To(Equal("may-have-run"))
		},
		Entry("idempotent", "GET", "/services/desk/x", ""),
		Entry("non-idempotent", "POST", "/services/desk/charges", "5"),
		Entry("completion", "POST", "/v1/completions", `{"model":"llm","prompt":"x","max_tokens":4}`),
	)

	DescribeTable("refuses a request that has waited for a backend server until it can't end in time",
		// Guards against requests that are sent too late because they were taken before the stop.
		func(path, body string) {
			evidence := e.evidence
			e.evidence = map[string]blackboard.Observation{}
			e.publish()
			time.AfterFunc(answers/6, func() { e.gateway.SetLeaving(grace) })
			time.AfterFunc(answers/6+grace.Total/3+50*time.Millisecond, func() {
				e.evidence = evidence
				e.publish()
			})
			got := e.do("POST", path, body)
			Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			Expect(got.verdict).To(Equal("not-run"))
			Expect(got.body).To(ContainSubstring(`"draining"`))
			Expect(runs.Load()).To(BeZero())
		},
		Entry("non-idempotent", "/services/desk/charges", "5"),
		Entry("completion", "/v1/completions", `{"model":"llm","prompt":"x","max_tokens":4}`),
	)

	It("refuses a request whose body doesn't arrive in time", func() {
		// Guards against a connection that is closed without an answer.
		caller, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		Expect(caller.SetDeadline(time.Now().Add(3 * answers))).To(Succeed())
		_, err = io.WriteString(caller, "POST /services/desk/charges HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\nContent-Length: 9\r\n\r\npart")
		Expect(err).NotTo(HaveOccurred())
		Eventually(e.gateway.InFlight).Should(Equal(1))
		e.gateway.SetLeaving(grace)
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Rattanlanding-Verdict")).To(Equal("not-run"))
		Expect(runs.Load()).To(BeZero())
	})
})
