package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/memory"
)

var _ = Describe("Memory for bodies and responses", func() {
	const size = 1 << 20
	var e *testEnv
	var runs atomic.Int64
	BeforeEach(func() {
		runs.Store(0)
		e = newTestEnv()
		e.memory = memory.NewBudget(memory.Config{Bytes: 32 << 20})
		e.addServer(func(rw http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			body, _ := io.ReadAll(r.Body)
			_, _ = rw.Write(body)
		})
		e.start()
	})
	take := func(kind memory.Kind) *memory.Hold {
		hold := e.memory.NewHold(kind, memory.Owner{}, func() {})
		Expect(hold.Acquire(e.memory.Limit(kind), 0)).To(Succeed())
		Expect(hold.SetRevocable(false)).To(BeTrue())
		return hold
	}
	expectNothingHeld := func() {
		GinkgoHelper()
		Eventually(func() int64 {
			return e.memory.Used(memory.Bodies) + e.memory.Used(memory.Responses) + e.memory.Used(memory.Requests)
		}).Should(BeZero())
	}

	It("refuses a large body as not run if there is none, and serves a small one", func() {
		// Guards against small requests that large ones keep from being served, and against a
		// refusal without its promise.
		others := take(memory.Bodies)
		got := e.do("PUT", "/services/desk/x", strings.Repeat("b", size))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.verdict).To(Equal("not-run"))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(runs.Load()).To(BeZero())
		small := strings.Repeat("b", memory.FreeSize)
		Expect(e.do("PUT", "/services/desk/x", small).body).To(Equal(small))
		others.Release()
		large := strings.Repeat("b", size)
		Expect(e.do("PUT", "/services/desk/x", large).body).To(Equal(large), "one of the largest size fits")
		expectNothingHeld()
	})

	It("reports a response without memory as one that may have run", func() {
		// Guards against a caller who is told that a request hasn't run although it has.
		others := take(memory.Responses)
		got := e.do("POST", "/services/desk/charges", strings.Repeat("b", size))
		Expect(got.status).To(BeNumerically(">=", http.StatusInternalServerError))
		Expect(got.verdict).To(Equal("may-have-run"))
		Expect(runs.Load()).To(Equal(int64(1)))
		others.Release()
		expectNothingHeld()
	})
})
