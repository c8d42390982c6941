package verdict_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/verdict"
)

func TestVerdict(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "verdict")
}

var _ = Describe("Error", func() {
	It("keeps the verdict through wrapping", func() {
		// Guards against reporting a wrapped refusal as may-have-run.
		err := fmt.Errorf("apply: %w", verdict.BadField("base", "must not be negative"))
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
	})

	It("reports an unknown error as may-have-run", func() {
		// Guards against reporting a request as not-run without proof.
		Expect(verdict.Of(errors.New("boom")).Verdict).To(Equal(verdict.MayHaveRun))
	})
})
