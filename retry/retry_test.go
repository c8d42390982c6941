package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/verdict"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var _ = Describe("Budget", func() {
	It("allows a burst and then one retry for ten requests", func() {
		// Guards against retries that multiply the load during an outage.
		b := retry.NewBudget(10, 2)
		Expect([]bool{b.Take(), b.Take(), b.Take()}).To(Equal([]bool{true, true, false}))
		taken := 0
		for range 1000 {
			b.AddRequest()
			if b.Take() {
				taken++
			}
		}
		Expect(taken).To(Equal(100))
	})
})

var _ = Describe("Allowed", func() {
	It("retries a call that is not repeatable only if it was not run", func() {
		// Guards against running a call twice, such as a payment, after an
		// unknown outcome.
		notRun := verdict.New(verdict.NotRun, verdict.ReasonBackendFailed, "refused")
		unclear := verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "broken")
		Expect(retry.Allowed(notRun, false)).To(BeTrue())
		Expect(retry.Allowed(unclear, false)).To(BeFalse())
		Expect(retry.Allowed(unclear, true)).To(BeTrue())
		Expect(retry.Allowed(verdict.New(verdict.NotRun, verdict.ReasonDeadline, "late"), true)).To(BeFalse())
	})
})

var _ = Describe("Backoff", func() {
	It("doubles its ceiling up to the maximum", func() {
		// Guards against an overflow or an unbounded wait.
		var b retry.Backoff
		Expect(b.Ceiling(1)).To(Equal(20 * time.Millisecond))
		Expect(b.Ceiling(3)).To(Equal(80 * time.Millisecond))
		Expect(b.Ceiling(1000)).To(Equal(time.Second))
	})
})
