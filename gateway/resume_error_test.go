package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/route"
)

var _ = Describe("Completions that are resumed", func() {
	var e *testEnv
	BeforeEach(func() { e = newTestEnv() })

	DescribeTable("ends a stream whose next engine answers with an error without that error's text",
		func(answer func(http.ResponseWriter)) {
			// Guards against an error, or the head of a response, in the middle of a stream, and
			// against an incomplete stream that looks complete (ORDER, MIXED).
			e.addEngine(func(a attempt) { a.writeTokens(0, 1) })
			e.addEngine(func(a attempt) {
				if len(a.Resume) == 0 {
					a.writeTokens(0, 1)
					return
				}
				answer(a.w)
			})
			e.start()
			got := e.do("POST", "/v1/completions", streamedRequest)
			Expect(got.body).To(HavePrefix("data: "))
			Expect(strings.Count(got.body, "t0 ")).To(Equal(1))
			Expect(got.body).NotTo(ContainSubstring("boom"))
			Expect(got.body).NotTo(ContainSubstring("HTTP/1.1"))
			Expect(got.body).NotTo(ContainSubstring("[DONE]"))
		},
		Entry("500", func(w http.ResponseWriter) { http.Error(w, "boom", http.StatusInternalServerError) }),
		Entry("a refusal", func(w http.ResponseWriter) {
			w.Header().Set("Rattanlanding-Verdict", "not-run")
			http.Error(w, "boom", http.StatusServiceUnavailable)
		}),
		Entry("a success that is no stream", func(w http.ResponseWriter) { _, _ = w.Write([]byte("{\"error\":\"boom\"}\n\n")) }),
	)

	It("ends a stream at once if its service is withdrawn before it can resume", func() {
		// Guards against a caller that waits for a group that can't come back.
		e.settings.ResumeWait, e.settings.CompletionTimeout = time.Minute, time.Minute
		e.addEngine(func(a attempt) {
			a.writeTokens(0, 1)
			e.board.Configuration.Publish(&fleet.Configuration{Organisations: e.config.Organisations})
			e.builder.Build()
		})
		e.start()
		begun := time.Now()
		got := e.do("POST", "/v1/completions", streamedRequest)
		Expect(got.body).To(ContainSubstring("event: error"))
		Expect(got.body).NotTo(ContainSubstring(endMarker))
		Expect(time.Since(begun)).To(BeNumerically("<", 30*time.Second))
	})

	It("aborts a stream whose handler panics", func() {
		// Guards against an incomplete stream that ends like a complete response.
		choices := 0
		e.settings.Groups = pausingPolicy{func(*route.Target) {
			if choices++; choices > 1 {
				panic("test")
			}
		}}
		e.addEngine(func(a attempt) { a.writeTokens(0, 1) })
		e.start()
		request, err := http.NewRequest("POST", e.url+"/v1/completions", strings.NewReader(streamedRequest))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer k1")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		Expect(string(body)).To(ContainSubstring("t0 "))
		Expect(err).To(HaveOccurred())
		Eventually(e.gateway.InFlight).Should(BeZero())
	})
})
