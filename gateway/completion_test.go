package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/route"
)

const (
	streamedRequest = `{"model":"llm","prompt":"hi","max_tokens":4,"stream":true,"extra":"kept"}`
	bufferedRequest = `{"model":"llm","prompt":"hi","max_tokens":4}`
	fullText        = "t0 t1 t2 t3 "
)

// refreshFunc implements gateway.Refresher by a function.
type refreshFunc func(group string)

func (f refreshFunc) Refresh(_ context.Context, group string) { f(group) }

// pausingPolicy chooses the first target and then calls afterPause, which acts as if the
// process had been paused after the choice.
type pausingPolicy struct{ afterPause func(t *route.Target) }

func (p pausingPolicy) Choose(targets []*route.Target, _ route.Request, _ time.Time) *route.Target {
	t := *targets[0]
	p.afterPause(&t)
	return &t
}

var _ = Describe("Completions", func() {
	var e *testEnv
	BeforeEach(func() { e = newTestEnv() })
	complete := func(body string, header ...string) callerResponse {
		return e.do("POST", "/v1/completions", body, header...)
	}

	It("streams, passes unknown fields on and ends with the engine's end marker", func() {
		// Guards against request fields that do not reach the engine, and against an end
		// marker before the last token.
		e.addEngine(serveRemaining)
		e.start()
		got := complete(streamedRequest)
		Expect(streamedText(got.body)).To(Equal(fullText))
		Expect(got.body).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(e.receivedAttempts()[0].Extra).To(Equal("kept"))
		Expect(complete(bufferedRequest).body).To(ContainSubstring(`"text":"` + fullText))
	})

	DescribeTable("resumes on another group without a lost or repeated token",
		// Guards against missing, repeated or foreign tokens when an engine fails in the
		// middle of a completion and another one continues it.
		func(body string, broken func(a attempt)) {
			failed := false
			serve := func(a attempt) {
				if !failed {
					failed = true
					broken(a)
					return
				}
				serveRemaining(a)
			}
			e.addEngine(serve)
			e.addEngine(serve)
			e.start()
			got := complete(body)
			Expect(got.status).To(Equal(200))
			Expect(got.body).NotTo(ContainSubstring("event: error"))
			if body == streamedRequest {
				Expect(streamedText(got.body)).To(Equal(fullText))
				Expect(strings.Count(got.body, "[DONE]")).To(Equal(1))
			} else {
				Expect(got.body).To(ContainSubstring(`"text":"` + fullText + `"`))
			}
			Expect(e.receivedAttempts()).To(HaveLen(2))
			Expect(e.receivedAttempts()[0].Group).NotTo(Equal(e.receivedAttempts()[1].Group))
			Expect(e.receivedAttempts()[1].MaxTokens).To(BeNumerically(">=", 1))
			Expect(e.receivedAttempts()[1].MaxTokens + len(e.receivedAttempts()[1].Resume)).To(Equal(4))
		},
		Entry("connection closed in mid-stream", streamedRequest, func(a attempt) { a.writeTokens(0, 2); panic(http.ErrAbortHandler) }),
		Entry("stream ended without an error", streamedRequest, func(a attempt) { a.writeTokens(0, 3) }),
		Entry("all tokens without the end marker", streamedRequest, func(a attempt) { a.writeTokens(0, 4) }),
		Entry("missing token", streamedRequest, func(a attempt) { a.writeTokens(0, 1); a.writeTokens(2, 4); a.writeEndMarker() }),
		Entry("tokens of another attempt", streamedRequest, func(a attempt) { a.writeTokens(0, 1); a.ID = "other"; a.writeTokens(1, 4); a.writeEndMarker() }),
		Entry("stream ended without an error, buffered request", bufferedRequest, func(a attempt) { a.writeTokens(0, 2) }),
		Entry("response of another attempt, buffered request", bufferedRequest, func(a attempt) {
			a.w.Header().Set(backend.HeaderAttempt, "other")
			serveRemaining(a)
		}),
		Entry("engine of another group", streamedRequest, func(a attempt) { a.w.WriteHeader(http.StatusConflict) }),
	)

	It("delivers at most max_tokens and drops repeated tokens", func() {
		// Guards against an engine that sends more than max_tokens and against one that
		// repeats an event.
		e.addEngine(func(a attempt) { a.writeTokens(0, 2); a.writeTokens(1, 9); a.writeEndMarker() })
		e.start()
		Expect(streamedText(complete(streamedRequest).body)).To(Equal(fullText))
	})

	It("resumes on another group when an engine stops sending and its evidence is gone", func() {
		// Guards against streams that hang on a paused engine.
		release := make(chan struct{})
		defer close(release)
		e.settings.StallCheck = 20 * time.Millisecond
		e.settings.ResumeWait = time.Minute
		e.settings.StallTimeout, e.settings.CompletionTimeout = time.Hour, time.Minute
		silent := func(a attempt) {
			if len(a.Resume) > 0 {
				serveRemaining(a)
				return
			}
			a.writeTokens(0, 2)
			e.mu.Lock()
			evidence := map[string]blackboard.Observation{}
			for name, seen := range e.evidence {
				if name != a.Group {
					evidence[name] = seen
				}
			}
			e.evidence = evidence
			e.mu.Unlock()
			e.board.Evidence.Publish(&blackboard.Evidence{ByInstance: evidence})
			e.builder.Build()
			<-release
		}
		e.addEngine(silent)
		e.addEngine(silent)
		e.start()
		Expect(streamedText(complete(streamedRequest).body)).To(Equal(fullText))
		Eventually(func() int {
			e.mu.Lock()
			defer e.mu.Unlock()
			return len(e.cancelPaths)
		}, time.Minute).Should(Equal(1))
	})

	It("does not resume on a group of another model version", func() {
		// Guards against a completion with tokens of two model versions, when a stream
		// resumes during a rollout.
		e.addEngine(func(a attempt) { a.writeTokens(len(a.Resume), 2) })
		e.addEngine(func(a attempt) { serveRemaining(a) })
		for i := range e.placement.Groups {
			e.placement.Groups[i].Version = fmt.Sprint("v", i)
			seen := e.evidence[e.placement.Groups[i].Name]
			seen.Report.Version = e.placement.Groups[i].Version
			e.evidence[e.placement.Groups[i].Name] = seen
		}
		e.start()
		for range 4 {
			got := complete(streamedRequest)
			if streamedText(got.body) == fullText {
				Expect(got.body).To(ContainSubstring("[DONE]"))
			} else {
				Expect(got.body).NotTo(ContainSubstring("[DONE]"))
			}
		}
		for _, a := range e.receivedAttempts() {
			if a.Group == "g1" {
				Expect(a.Resume).To(BeEmpty())
			}
		}
	})

	It("ends a stream that can't be resumed with an error event and without the end marker", func() {
		// Guards against a truncated stream that the caller takes for a complete one.
		e.addEngine(func(a attempt) { a.writeTokens(len(a.Resume), len(a.Resume)) })
		e.start()
		got := complete(streamedRequest)
		Expect(got.status).To(Equal(502))
		Expect(got.verdict).To(Equal("may-have-run"))
		tokenSent := false
		e.addEngine(func(a attempt) {
			if !tokenSent {
				a.writeTokens(0, 1)
			}
			tokenSent = true
		})
		e.placement.Groups = e.placement.Groups[1:]
		e.publish()
		got = complete(streamedRequest)
		Expect(got.body).To(ContainSubstring("event: error\ndata: {\"error\":{\"verdict\":\"may-have-run\""))
		Expect(got.body).NotTo(ContainSubstring("[DONE]"))
	})

	It("gives the verdict not-run only if every attempt was refused", func() {
		// Guards against a not-run verdict of the last attempt that hides an earlier one
		// that may have run.
		var calls atomic.Int64
		breakThenRefuse := func(rw http.ResponseWriter) {
			if calls.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			rw.Header().Set("Rattanlanding-Verdict", "not-run")
			rw.WriteHeader(503)
		}
		e.addEngine(func(a attempt) { breakThenRefuse(a.w) })
		e.addServer(func(rw http.ResponseWriter, _ *http.Request) { breakThenRefuse(rw) })
		e.start()
		Expect(complete(bufferedRequest).verdict).To(Equal("may-have-run"))
		Expect(calls.Swap(0)).To(Equal(int64(3)))
		Expect(e.do("GET", "/services/desk/x", "").verdict).To(Equal("may-have-run"))
		Expect(calls.Swap(1)).To(Equal(int64(3)))
		Expect(complete(bufferedRequest).verdict).To(Equal("not-run"))
	})

	It("cancels the attempt at the engine when the caller disconnects", func() {
		// Guards against engines that keep generating after the caller disconnected.
		begun := make(chan struct{})
		release := make(chan struct{})
		defer close(release)
		e.addEngine(func(a attempt) { a.writeTokens(0, 1); close(begun); <-release })
		e.start()
		conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k1\r\nContent-Length: " +
			"73\r\n\r\n" + streamedRequest))
		Expect(err).NotTo(HaveOccurred())
		Expect(streamedRequest).To(HaveLen(73))
		<-begun
		conn.Close()
		Eventually(func() []string {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.cancelPaths
		}, time.Minute).Should(Equal([]string{"/v1/attempts/" + e.receivedAttempts()[0].ID}))
		Eventually(e.gateway.InFlight, time.Minute).Should(Equal(0))
	})

	DescribeTable("gives the verdict not-run to requests that it refuses without sending them",
		// Guards against sending a request that must be refused, and against refusing it
		// with another verdict than not-run.
		func(prepare func(), body string, status int, reason string, header ...string) {
			e.addEngine(serveRemaining)
			e.start()
			prepare()
			got := complete(body, header...)
			Expect(got.status).To(Equal(status))
			Expect(got.verdict).To(Equal("not-run"))
			Expect(got.body).To(ContainSubstring(`"reason":"` + reason + `"`))
			Expect(e.receivedAttempts()).To(BeEmpty())
		},
		Entry("configuration not confirmed", func() {
			e.board.Confirmation.Publish(&blackboard.Confirmation{ServeUntil: time.Now()})
		}, bufferedRequest, 503, "configuration-unconfirmed"),
		Entry("draining", func() { Expect(e.gateway.Drain(context.Background())).To(Succeed()) }, bufferedRequest, 503, "draining"),
		Entry("unknown key", func() {}, bufferedRequest, 401, "unauthenticated", "Authorization", "Bearer k9"),
		Entry("service that the organisation may not use", func() {}, bufferedRequest, 403, "forbidden", "Authorization", "Bearer k2"),
		Entry("unknown model", func() {}, `{"model":"x","prompt":"p","max_tokens":1}`, 404, "not-found"),
		Entry("max_tokens too large", func() {}, `{"model":"llm","prompt":"p","max_tokens":32769}`, 400, "bad-request"),
		Entry("body is not JSON", func() {}, `{`, 400, "bad-request"),
		Entry("body too large", func() {}, strings.Repeat("x", 4<<20+1), 413, "too-large"),
		Entry("group without evidence", func() { clear(e.evidence); e.builder.Build() }, bufferedRequest, 503, "no-healthy-group"),
	)

	It("lets requests in flight finish while it drains, and refuses new ones", func() {
		// Guards against a planned shutdown that interrupts requests.
		begun, release := make(chan struct{}), make(chan struct{})
		e.addEngine(func(a attempt) { close(begun); <-release; serveRemaining(a) })
		e.start()
		first, drained := make(chan callerResponse, 1), make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			first <- complete(bufferedRequest)
		}()
		<-begun
		Expect(e.gateway.InFlight()).To(Equal(1))
		go func() { drained <- e.gateway.Drain(context.Background()) }()
		Eventually(func() string { return complete(`{`).verdict + complete(`{`).body }, time.Minute).
			Should(ContainSubstring(`"reason":"draining"`))
		Expect(drained).NotTo(Receive())
		close(release)
		Expect((<-first).status).To(Equal(200))
		Expect(<-drained).To(Succeed())
	})

	It("sheds requests above MaxConcurrent with the verdict not-run", func() {
		// Guards against a node that accepts more concurrent requests than MaxConcurrent.
		begun, release := make(chan struct{}), make(chan struct{})
		e.settings.MaxConcurrent = 1
		e.addEngine(func(a attempt) { close(begun); <-release; serveRemaining(a) })
		e.start()
		first := make(chan callerResponse, 1)
		go func() {
			defer GinkgoRecover()
			first <- complete(bufferedRequest)
		}()
		<-begun
		got := complete(bufferedRequest)
		Expect(got.body).To(ContainSubstring(`"verdict":"not-run","reason":"overloaded"`))
		Expect(got.header.Get("Retry-After")).To(Equal("1"))
		close(release)
		Expect((<-first).status).To(Equal(200))
	})

	It("passes the deadline on to the engine and fails the request once it has passed", func() {
		// Guards against engines that keep working on a request after its deadline.
		release := make(chan struct{})
		defer close(release)
		e.addEngine(func(attempt) { <-release })
		e.start()
		got := complete(bufferedRequest, "Rattanlanding-Deadline-Ms", "1000")
		Expect(got.status).To(Equal(504))
		Expect(got.verdict).To(Equal("may-have-run"))
		Eventually(e.receivedAttempts, time.Minute).Should(HaveLen(1))
		Expect(e.receivedAttempts()[0].Deadline).To(MatchRegexp(`^(\d{1,3}|1000)$`))
	})

	DescribeTable("checks evidence and configuration against the clock just before it sends",
		// Guards against sending with expired evidence or an unconfirmed configuration
		// when the process is paused between choosing a target and sending to it.
		func(afterPause func(e *testEnv, t *route.Target), reason string) {
			var sent atomic.Bool
			policy := pausingPolicy{func(t *route.Target) { afterPause(e, t) }}
			e.settings.Groups, e.settings.Servers = policy, policy
			e.addEngine(serveRemaining)
			e.addServer(func(http.ResponseWriter, *http.Request) { sent.Store(true) })
			e.start()
			for _, path := range []string{"/v1/completions", "/services/desk/charges"} {
				e.publish()
				got := e.do("POST", path, bufferedRequest, "Idempotency-Key", reason)
				Expect(got.verdict).To(Equal("not-run"))
				Expect(got.body).To(ContainSubstring(reason))
			}
			Expect(e.receivedAttempts()).To(BeEmpty())
			Expect(sent.Load()).To(BeFalse())
		},
		Entry("evidence expired", func(_ *testEnv, t *route.Target) { t.Expires = time.Now() }, "evidence expired"),
		Entry("configuration no longer confirmed", func(e *testEnv, _ *route.Target) {
			e.board.Confirmation.Publish(&blackboard.Confirmation{ServeUntil: time.Now()})
		}, "configuration"),
	)

	It("probes a group with old evidence before it sends", func() {
		// Guards against a node that is cut off from its peers, and so gets no evidence
		// from them, but stops serving groups that it can reach itself.
		e.settings.RefreshAge = time.Minute
		e.addEngine(serveRemaining)
		e.evidence["g0"] = blackboard.Observation{ObservedAt: time.Now().Add(-2 * time.Hour), Report: e.evidence["g0"].Report}
		var refreshed []string
		e.refresher = refreshFunc(func(group string) {
			refreshed = append(refreshed, group)
			seen := e.evidence["g0"]
			seen.ObservedAt = time.Now()
			e.evidence["g0"] = seen
			e.builder.Build()
		})
		e.start()
		Expect(complete(bufferedRequest).status).To(Equal(200))
		Expect(refreshed).To(Equal([]string{"g0"}))
	})
})

var _ = Describe("Addresses", func() {
	It("returns stable addresses in several failure domains, without nodes that are leaving", func() {
		// Guards against responses with addresses of one failure domain only, or of a
		// node that is shutting down.
		e := newTestEnv()
		members := &blackboard.Members{Self: "n0"}
		for i, domain := range []string{"a", "a", "a", "b", "c"} {
			members.All = append(members.All, fleet.MemberView{Member: fleet.Member{Node: string(rune('0' + i)),
				FailureDomain: domain, CallerAddress: domain, State: fleet.NodeServing}})
		}
		members.All[3].Node, members.All[3].CallerAddress = "n0", "self"
		e.board.Members.Publish(members)
		e.start()
		got := e.do("GET", "/v1/addresses", "")
		for _, domain := range []string{"a", "b", "c"} {
			Expect(got.body).To(ContainSubstring(`"failureDomain":"` + domain + `"`))
		}
		Expect(got.body).To(ContainSubstring(`"ttlMs":5000`))
		Expect(e.do("GET", "/v1/addresses", "").body).To(Equal(got.body))
		// Callers of one organisation must not all use the same node.
		first := make(map[string]bool)
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
			first[e.do("GET", "/v1/addresses?caller="+name, "").body] = true
		}
		Expect(len(first)).To(BeNumerically(">", 1))
		e.board.Lifecycle.Publish(&blackboard.Lifecycle{State: fleet.NodeLeaving})
		Expect(e.do("GET", "/v1/addresses", "").body).NotTo(ContainSubstring("self"))
	})
})
