package gateway_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
)

// nextIncident is the time after which crashes don't count as one incident.
const nextIncident = 700 * time.Millisecond

var _ = Describe("A request that crashes engines", func() {
	var e *testEnv
	BeforeEach(func() {
		e = newTestEnv()
		e.statuses = statusFunc(func(string) (fleet.Report, error) { return fleet.Report{}, syscall.ECONNREFUSED })
	})
	complete := func(body string) callerResponse { return e.do("POST", "/v1/completions", body) }

	DescribeTable("is refused after the third",
		// Guards against a caller that crashes engine after engine by sending a completion again,
		// streamed or not, and against refusals of the other requests.
		func(serve func(a attempt), first string) {
			for range 9 {
				e.addEngine(func(a attempt) {
					if a.Extra == "sound" {
						serveRemaining(a)
						return
					}
					serve(a)
				})
			}
			e.start()
			Expect(complete(first).body).To(ContainSubstring("3 engines crashed while they ran it"))
			for _, body := range []string{bufferedRequest, `{"stream":true, "prompt":"hi","max_tokens":4,"model":"llm"}`} {
				got := complete(body)
				Expect(got.status).To(Equal(http.StatusUnprocessableEntity))
				Expect(got.verdict).To(Equal("not-run"))
				Expect(got.body).To(ContainSubstring("request-quarantined"))
			}
			Expect(e.receivedAttempts()).To(HaveLen(3))
			Expect(complete(strings.Replace(bufferedRequest, "}", `,"extra":"sound"}`, 1)).status).To(Equal(http.StatusOK), "another field")
			Expect(complete(strings.Replace(bufferedRequest, "hi", "ho", 1)).body).To(ContainSubstring("until"), "another prompt")
			Expect(e.receivedAttempts()).To(HaveLen(7))
			e.do("POST", "/v1/completions", bufferedRequest, "Authorization", "Bearer k3")
			Expect(e.receivedAttempts()).To(HaveLen(10), "another organisation")
		},
		Entry("before the response", func(attempt) { panic(http.ErrAbortHandler) }, bufferedRequest),
		Entry("in the middle of it", breakOff, strings.Replace(bufferedRequest, "}", `,"stream":true}`, 1)),
	)

	It("is refused although other engines complete it", func() {
		// Guards against a completion that crashes an engine with each arrival, and whose
		// evidence is removed because another engine produces the rest.
		var crashes atomic.Int64
		for range 9 {
			e.addEngine(func(a attempt) {
				if len(a.Resume) == 0 {
					crashes.Add(1)
					breakOff(a)
				}
				serveRemaining(a)
			})
		}
		e.start()
		Expect(complete(bufferedRequest).status).To(Equal(http.StatusOK))
		time.Sleep(nextIncident)
		for range 4 {
			complete(bufferedRequest)
		}
		Expect(complete(bufferedRequest).status).To(Equal(http.StatusUnprocessableEntity))
		Expect(crashes.Load()).To(BeEquivalentTo(3))
	})

	It("is refused while it waits for a group", func() {
		// Guards against requests that wait and are sent although other nodes know that they
		// crash engines.
		for range 3 {
			e.addEngine(func(attempt) { panic(http.ErrAbortHandler) })
		}
		e.start()
		Expect(complete(bufferedRequest).verdict).To(Equal("may-have-run"))
		reports := e.guard.Report()
		e = newTestEnv()
		e.addEngine(serveRemaining)
		e.evidence = map[string]blackboard.Observation{}
		e.settings.PickWait = time.Minute
		e.refresher = refreshFunc(func(string) { e.guard.Absorb(reports) })
		e.start()
		began := time.Now()
		got := complete(bufferedRequest)
		Expect(got.status).To(Equal(http.StatusUnprocessableEntity))
		Expect(got.verdict).To(Equal("not-run"))
		Expect(time.Since(began)).To(BeNumerically("<", 10*time.Second))
	})

	DescribeTable("isn't blamed for crashes between responses that show sound servers",
		// Guards against refusing for good what servers answer with an error of their own, because
		// it is in progress at each crash.
		func(path, body string, add func(func(http.ResponseWriter))) {
			var runs atomic.Int64
			for range 9 {
				add(func(w http.ResponseWriter) {
					if runs.Add(1)%2 == 1 {
						panic(http.ErrAbortHandler)
					}
					w.WriteHeader(http.StatusNotFound)
				})
			}
			e.settings.MaxAttempts = 1
			e.start()
			for i := range 8 {
				Expect(e.do("POST", path, body).status).NotTo(Equal(http.StatusUnprocessableEntity), "request %d", i)
				time.Sleep(nextIncident / 2)
			}
		},
		Entry("calls", "/services/desk/status", "1", func(serve func(http.ResponseWriter)) {
			e.addServer(func(w http.ResponseWriter, _ *http.Request) { serve(w) })
		}),
		Entry("completions", "/v1/completions", bufferedRequest, func(serve func(http.ResponseWriter)) {
			e.addEngine(func(a attempt) { serve(a.w) })
		}),
	)

	DescribeTable("is refused although a server rejects it now and then", func(status int) {
		// Guards against a call that crashes servers for good because one of them refuses it or
		// fails before it runs it.
		var runs atomic.Int64
		for range 9 {
			e.addServer(func(w http.ResponseWriter, _ *http.Request) {
				if runs.Add(1) == 3 {
					w.WriteHeader(status)
					return
				}
				panic(http.ErrAbortHandler)
			})
		}
		e.settings.MaxAttempts = 1
		e.start()
		for range 3 {
			e.do("POST", "/services/desk/status", "1")
			time.Sleep(nextIncident)
		}
		for range 2 {
			Expect(e.do("POST", "/services/desk/status", "1").status).To(Equal(http.StatusUnprocessableEntity))
		}
		Expect(runs.Load()).To(BeEquivalentTo(4))
	},
		Entry("429", http.StatusTooManyRequests),
		Entry("500", http.StatusInternalServerError),
	)

	It("gets the stored response of a call with the same key, and is not sent under another", func() {
		// Guards against a refusal of a call that has already run, and against a claim that
		// a refused call keeps.
		var runs atomic.Int64
		for range 9 {
			e.addServer(func(rw http.ResponseWriter, _ *http.Request) {
				if runs.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			})
		}
		e.start()
		charge := func(key string) callerResponse {
			return e.do("POST", "/services/desk/charges", "5", "Idempotency-Key", key)
		}
		Expect(charge("a").status).To(Equal(http.StatusOK))
		Expect(charge("b").verdict).To(Equal("may-have-run"))
		time.Sleep(nextIncident)
		for _, key := range []string{"c", "c2", "c3", "d"} {
			Expect(charge(key).verdict).To(Equal("may-have-run"))
		}
		for range 2 {
			got := charge("e")
			Expect(got.status).To(Equal(http.StatusUnprocessableEntity))
			Expect(got.verdict).To(Equal("not-run"))
		}
		Expect(e.do("POST", "/services/desk/charges", "5").verdict).To(Equal("not-run"))
		Expect(runs.Load()).To(BeEquivalentTo(6))
		Expect(charge("a").status).To(Equal(http.StatusOK))
		Expect(e.do("POST", "/services/desk/charges", "6").verdict).To(Equal("may-have-run"), "another body")
	})
})
