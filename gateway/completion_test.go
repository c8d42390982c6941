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
	streamed = `{"model":"llm","prompt":"hi","max_tokens":4,"stream":true,"extra":"kept"}`
	whole    = `{"model":"llm","prompt":"hi","max_tokens":4}`
	allFour  = "t0 t1 t2 t3 "
)

// refreshFunc is a Refresher.
type refreshFunc func(group string)

func (f refreshFunc) Refresh(_ context.Context, group string) { f(group) }

// pause is a policy after whose choice the process seems to have slept.
type pause struct{ wake func(t *route.Target) }

func (p pause) Choose(targets []*route.Target, _ route.Request, _ time.Time) *route.Target {
	t := *targets[0]
	p.wake(&t)
	return &t
}

var _ = Describe("Completions", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })
	complete := func(body string, header ...string) answer { return w.do("POST", "/v1/completions", body, header...) }

	It("streams, passes unknown fields on and ends with the engine's end marker", func() {
		// Guards against lost fields and against an early end marker.
		w.engine(rest)
		w.start()
		got := complete(streamed)
		Expect(texts(got.body)).To(Equal(allFour))
		Expect(got.body).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(w.seen()[0].Extra).To(Equal("kept"))
		Expect(complete(whole).body).To(ContainSubstring(`"text":"` + allFour))
	})

	DescribeTable("resumes without a lost or repeated token",
		// Guards against answers that are short, doubled or mixed after a loss.
		func(body string, broken func(a attempt)) {
			failed := false
			serve := func(a attempt) {
				if !failed {
					failed = true
					broken(a)
					return
				}
				rest(a)
			}
			w.engine(serve)
			w.engine(serve)
			w.start()
			got := complete(body)
			Expect(got.status).To(Equal(200))
			Expect(got.body).NotTo(ContainSubstring("event: error"))
			if body == streamed {
				Expect(texts(got.body)).To(Equal(allFour))
				Expect(strings.Count(got.body, "[DONE]")).To(Equal(1))
			} else {
				Expect(got.body).To(ContainSubstring(`"text":"` + allFour + `"`))
			}
			Expect(w.seen()).To(HaveLen(2))
			Expect(w.seen()[0].Group).NotTo(Equal(w.seen()[1].Group))
			Expect(w.seen()[1].MaxTokens).To(BeNumerically(">=", 1))
			Expect(w.seen()[1].MaxTokens + len(w.seen()[1].Resume)).To(Equal(4))
		},
		Entry("cut", streamed, func(a attempt) { a.say(0, 2); panic(http.ErrAbortHandler) }),
		Entry("truncated without an error", streamed, func(a attempt) { a.say(0, 3) }),
		Entry("cut before the end marker", streamed, func(a attempt) { a.say(0, 4) }),
		Entry("gap", streamed, func(a attempt) { a.say(0, 1); a.say(2, 4); a.end() }),
		Entry("mixed with another attempt", streamed, func(a attempt) { a.say(0, 1); a.ID = "other"; a.say(1, 4); a.end() }),
		Entry("cut, not streamed", whole, func(a attempt) { a.say(0, 2) }),
		Entry("crossed answer", whole, func(a attempt) {
			a.w.Header().Set(backend.HeaderAttempt, "other")
			rest(a)
		}),
		Entry("wrong group", streamed, func(a attempt) { a.w.WriteHeader(http.StatusConflict) }),
	)

	It("delivers at most max_tokens and drops doubled tokens", func() {
		// Guards against an engine that goes on and against doubled events.
		w.engine(func(a attempt) { a.say(0, 2); a.say(1, 9); a.end() })
		w.start()
		Expect(texts(complete(streamed).body)).To(Equal(allFour))
	})

	It("resumes when an engine falls silent and its evidence is gone", func() {
		// Guards against streams that hang on a paused engine.
		release := make(chan struct{})
		defer close(release)
		w.settings.StallCheck = 20 * time.Millisecond
		w.settings.ResumeWait = time.Minute
		w.settings.StallTimeout, w.settings.CompletionTimeout = time.Hour, time.Minute
		silent := func(a attempt) {
			if len(a.Resume) > 0 {
				rest(a)
				return
			}
			a.say(0, 2)
			w.mu.Lock()
			evidence := map[string]blackboard.Observation{}
			for name, seen := range w.evidence {
				if name != a.Group {
					evidence[name] = seen
				}
			}
			w.evidence = evidence
			w.mu.Unlock()
			w.board.Evidence.Publish(&blackboard.Evidence{ByInstance: evidence})
			w.builder.Build()
			<-release
		}
		w.engine(silent)
		w.engine(silent)
		w.start()
		Expect(texts(complete(streamed).body)).To(Equal(allFour))
		Eventually(func() int {
			w.mu.Lock()
			defer w.mu.Unlock()
			return len(w.cancels)
		}, time.Minute).Should(Equal(1))
	})

	It("does not resume on a group of another model version", func() {
		// Guards against an answer made of two versions during a rollout.
		w.engine(func(a attempt) { a.say(len(a.Resume), 2) })
		w.engine(func(a attempt) { rest(a) })
		for i := range w.place.Groups {
			w.place.Groups[i].Version = fmt.Sprint("v", i)
			seen := w.evidence[w.place.Groups[i].Name]
			seen.Report.Version = w.place.Groups[i].Version
			w.evidence[w.place.Groups[i].Name] = seen
		}
		w.start()
		for range 4 {
			got := complete(streamed)
			if texts(got.body) == allFour {
				Expect(got.body).To(ContainSubstring("[DONE]"))
			} else {
				Expect(got.body).NotTo(ContainSubstring("[DONE]"))
			}
		}
		for _, a := range w.seen() {
			if a.Group == "g1" {
				Expect(a.Resume).To(BeEmpty())
			}
		}
	})

	It("ends a stream that can't go on with an error event and no end marker", func() {
		// Guards against a cut answer that looks whole.
		w.engine(func(a attempt) { a.say(len(a.Resume), len(a.Resume)) })
		w.start()
		got := complete(streamed)
		Expect(got.status).To(Equal(502))
		Expect(got.verdict).To(Equal("may-have-run"))
		said := false
		w.engine(func(a attempt) {
			if !said {
				a.say(0, 1)
			}
			said = true
		})
		w.place.Groups = w.place.Groups[1:]
		w.publish()
		got = complete(streamed)
		Expect(got.body).To(ContainSubstring("event: error\ndata: {\"error\":{\"verdict\":\"may-have-run\""))
		Expect(got.body).NotTo(ContainSubstring("[DONE]"))
	})

	It("says not run only if every attempt was refused", func() {
		// Guards against a refusal that hides an earlier attempt that may have
		// run.
		var calls atomic.Int64
		spoil := func(rw http.ResponseWriter) {
			if calls.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			rw.Header().Set("Rattanlanding-Verdict", "not-run")
			rw.WriteHeader(503)
		}
		w.engine(func(a attempt) { spoil(a.w) })
		w.server(func(rw http.ResponseWriter, _ *http.Request) { spoil(rw) })
		w.start()
		Expect(complete(whole).verdict).To(Equal("may-have-run"))
		Expect(calls.Swap(0)).To(Equal(int64(3)))
		Expect(w.do("GET", "/services/desk/x", "").verdict).To(Equal("may-have-run"))
		Expect(calls.Swap(1)).To(Equal(int64(3)))
		Expect(complete(whole).verdict).To(Equal("not-run"))
	})

	It("cancels the attempt when the caller goes away", func() {
		// Guards against work for nobody.
		begun := make(chan struct{})
		release := make(chan struct{})
		defer close(release)
		w.engine(func(a attempt) { a.say(0, 1); close(begun); <-release })
		w.start()
		conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k1\r\nContent-Length: " +
			"73\r\n\r\n" + streamed))
		Expect(err).NotTo(HaveOccurred())
		Expect(streamed).To(HaveLen(73))
		<-begun
		conn.Close()
		Eventually(func() []string {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.cancels
		}, time.Minute).Should(Equal([]string{"/v1/attempts/" + w.seen()[0].ID}))
		Eventually(w.gateway.InFlight, time.Minute).Should(Equal(0))
	})

	DescribeTable("refuses as not run what is not sent",
		// Guards against refusals without proof or after work was sent.
		func(prepare func(), body string, status int, reason string, header ...string) {
			w.engine(rest)
			w.start()
			prepare()
			got := complete(body, header...)
			Expect(got.status).To(Equal(status))
			Expect(got.verdict).To(Equal("not-run"))
			Expect(got.body).To(ContainSubstring(`"reason":"` + reason + `"`))
			Expect(w.seen()).To(BeEmpty())
		},
		Entry("unconfirmed", func() {
			w.board.Confirmation.Publish(&blackboard.Confirmation{ServeUntil: time.Now()})
		}, whole, 503, "configuration-unconfirmed"),
		Entry("draining", func() { Expect(w.gateway.Drain(context.Background())).To(Succeed()) }, whole, 503, "draining"),
		Entry("unknown key", func() {}, whole, 401, "unauthenticated", "Authorization", "Bearer k9"),
		Entry("other service", func() {}, whole, 403, "forbidden", "Authorization", "Bearer k2"),
		Entry("unknown model", func() {}, `{"model":"x","prompt":"p","max_tokens":1}`, 404, "not-found"),
		Entry("max_tokens", func() {}, `{"model":"llm","prompt":"p","max_tokens":32769}`, 400, "bad-request"),
		Entry("no JSON", func() {}, `{`, 400, "bad-request"),
		Entry("too large", func() {}, strings.Repeat("x", 4<<20+1), 413, "too-large"),
		Entry("lost group", func() { clear(w.evidence); w.builder.Build() }, whole, 503, "no-healthy-group"),
	)

	It("lets requests in flight finish while it drains, and refuses new ones", func() {
		// Guards against interrupted requests at a planned stop.
		begun, release := make(chan struct{}), make(chan struct{})
		w.engine(func(a attempt) { close(begun); <-release; rest(a) })
		w.start()
		first, drained := make(chan answer, 1), make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			first <- complete(whole)
		}()
		<-begun
		Expect(w.gateway.InFlight()).To(Equal(1))
		go func() { drained <- w.gateway.Drain(context.Background()) }()
		Eventually(func() string { return complete(`{`).verdict + complete(`{`).body }, time.Minute).
			Should(ContainSubstring(`"reason":"draining"`))
		Expect(drained).NotTo(Receive())
		close(release)
		Expect((<-first).status).To(Equal(200))
		Expect(<-drained).To(Succeed())
	})

	It("sheds requests above its limit as not run", func() {
		// Guards against a node that takes more than it can hold.
		begun, release := make(chan struct{}), make(chan struct{})
		w.settings.MaxConcurrent = 1
		w.engine(func(a attempt) { close(begun); <-release; rest(a) })
		w.start()
		first := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			first <- complete(whole)
		}()
		<-begun
		got := complete(whole)
		Expect(got.body).To(ContainSubstring(`"verdict":"not-run","reason":"overloaded"`))
		Expect(got.header.Get("Retry-After")).To(Equal("1"))
		close(release)
		Expect((<-first).status).To(Equal(200))
	})

	It("carries the deadline to the engine and ends when it passes", func() {
		// Guards against engines that work for requests nobody waits for.
		release := make(chan struct{})
		defer close(release)
		w.engine(func(attempt) { <-release })
		w.start()
		got := complete(whole, "Rattanlanding-Deadline-Ms", "1000")
		Expect(got.status).To(Equal(504))
		Expect(got.verdict).To(Equal("may-have-run"))
		Eventually(w.seen, time.Minute).Should(HaveLen(1))
		Expect(w.seen()[0].Deadline).To(MatchRegexp(`^(\d{1,3}|1000)$`))
	})

	DescribeTable("compares its proofs with the clock just before it sends",
		// Guards against a process that pauses between choice and send.
		func(wake func(w *world, t *route.Target), reason string) {
			var sent atomic.Bool
			policy := pause{func(t *route.Target) { wake(w, t) }}
			w.settings.Groups, w.settings.Servers = policy, policy
			w.engine(rest)
			w.server(func(http.ResponseWriter, *http.Request) { sent.Store(true) })
			w.start()
			for _, path := range []string{"/v1/completions", "/services/desk/charges"} {
				w.publish()
				got := w.do("POST", path, whole, "Idempotency-Key", reason)
				Expect(got.verdict).To(Equal("not-run"))
				Expect(got.body).To(ContainSubstring(reason))
			}
			Expect(w.seen()).To(BeEmpty())
			Expect(sent.Load()).To(BeFalse())
		},
		Entry("evidence", func(_ *world, t *route.Target) { t.Expires = time.Now() }, "evidence expired"),
		Entry("configuration", func(w *world, _ *route.Target) {
			w.board.Confirmation.Publish(&blackboard.Confirmation{ServeUntil: time.Now()})
		}, "configuration"),
	)

	It("refreshes old evidence before it sends", func() {
		// Guards against a node cut off from its peers that stops serving
		// groups it can reach.
		w.settings.RefreshAge = time.Minute
		w.engine(rest)
		w.evidence["g0"] = blackboard.Observation{ObservedAt: time.Now().Add(-2 * time.Hour), Report: w.evidence["g0"].Report}
		var refreshed []string
		w.refresher = refreshFunc(func(group string) {
			refreshed = append(refreshed, group)
			seen := w.evidence["g0"]
			seen.ObservedAt = time.Now()
			w.evidence["g0"] = seen
			w.builder.Build()
		})
		w.start()
		Expect(complete(whole).status).To(Equal(200))
		Expect(refreshed).To(Equal([]string{"g0"}))
	})
})

var _ = Describe("Addresses", func() {
	It("spreads over failure domains, is stable, and leaves out leaving nodes", func() {
		// Guards against answers that name one failure domain only, or a node
		// that stops.
		w := newWorld()
		members := &blackboard.Members{Self: "n0"}
		for i, domain := range []string{"a", "a", "a", "b", "c"} {
			members.All = append(members.All, fleet.MemberView{Member: fleet.Member{Node: string(rune('0' + i)),
				FailureDomain: domain, CallerAddress: domain, State: fleet.NodeServing}})
		}
		members.All[3].Node, members.All[3].CallerAddress = "n0", "self"
		w.board.Members.Publish(members)
		w.start()
		got := w.do("GET", "/v1/addresses", "")
		for _, domain := range []string{"a", "b", "c"} {
			Expect(got.body).To(ContainSubstring(`"failureDomain":"` + domain + `"`))
		}
		Expect(got.body).To(ContainSubstring(`"ttlMs":5000`))
		Expect(w.do("GET", "/v1/addresses", "").body).To(Equal(got.body))
		// Callers of one organisation must not all use the same node.
		first := make(map[string]bool)
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
			first[w.do("GET", "/v1/addresses?caller="+name, "").body] = true
		}
		Expect(len(first)).To(BeNumerically(">", 1))
		w.board.Lifecycle.Publish(&blackboard.Lifecycle{State: fleet.NodeLeaving})
		Expect(w.do("GET", "/v1/addresses", "").body).NotTo(ContainSubstring("self"))
	})
})
