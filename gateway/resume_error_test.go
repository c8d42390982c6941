package gateway_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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
})
