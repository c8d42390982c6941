package peer

import (
	"fmt"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/quarantine"
)

// maxReportBytes bounds the observations in a message without a size limit.
const maxReportBytes = 4 << 10

func newGuard() *quarantine.Guard {
	return quarantine.NewGuard(quarantine.Config{}, log.NewNopLogger(), metrics.NewRegistry())
}

var _ = Describe("observations of requests that crash engines", func() {
	deadly := quarantine.Request{ID: "deadly"}
	refuses := func(g *quarantine.Guard, r quarantine.Request) func() bool {
		return func() bool { return g.Match(r) != nil }
	}

	It("reach all members at once and a node that starts later", func() {
		// Guards against a request that is refused only by the nodes that saw its crashes, or
		// after the next periodic round, and against a quarantine that a new node lacks.
		const interval = 4 * time.Second
		seed := listenLoopback()
		guards := make([]*quarantine.Guard, 7)
		start := func(i int) *runningNode {
			guards[i] = newGuard()
			if i == 0 {
				return startNodeWith("n0", seed, "key", interval, guards[i])
			}
			return startNodeWith(fmt.Sprint("n", i), listenLoopback(), "key", interval, guards[i], seed.Addr().String())
		}
		var nodes []*runningNode
		for i := range 6 {
			nodes = append(nodes, start(i))
		}
		for _, n := range nodes {
			Eventually(servingCount(n)).WithTimeout(eventuallyTimeout).Should(Equal(6))
		}
		for i := range 3 {
			repeat := deadly
			repeat.EarlierAttempts = i
			guards[i+1].Crashed(fmt.Sprint("engine-", i), 1, repeat, true, time.Now())
		}
		for _, g := range guards[:6] {
			Eventually(refuses(g, deadly)).WithTimeout(interval / 2).Should(BeTrue())
			Expect(g.Match(quarantine.Request{ID: "other"})).To(BeNil())
		}
		guards[2].Answered(deadly)
		for _, g := range guards[:6] {
			Eventually(refuses(g, deadly)).WithTimeout(interval / 2).Should(BeFalse())
		}

		old := quarantine.Request{ID: "old"}
		guards[0].Absorb(quarantine.Reports{quarantine.Requests: {Notices: []quarantine.Notice{{
			Parts: []quarantine.Part{quarantine.PartOf("old")}, Since: 1, RemainingMs: 60_000, Crashes: 3, Prompts: 1}}}})
		start(6)
		Eventually(refuses(guards[6], old)).WithTimeout(interval / 2).Should(BeTrue())
	})

	It("are bounded in bytes and validated", func() {
		// Guards against messages that grow with the number of suspected requests, and against
		// more observations than a node sends.
		g, now := newGuard(), time.Now()
		var notices []quarantine.Notice
		for i := range 100 {
			suspect := quarantine.Request{ID: fmt.Sprint("request-", i)}
			g.Crashed(fmt.Sprint("engine-", i), 1, suspect, true, now)
			if i%2 == 0 {
				g.Answered(suspect)
			}
			notices = append(notices, quarantine.Notice{Parts: []quarantine.Part{quarantine.PartOf(fmt.Sprint(i))},
				Since: now.UnixMilli(), RemainingMs: 60_000, Crashes: 3, Prompts: 1})
		}
		g.Absorb(quarantine.Reports{quarantine.Requests: {Notices: notices}})
		n := &Node{deps: Dependencies{Quarantine: g}, logger: log.NewNopLogger()}
		whole := n.responseObservations(0)
		Expect(len(whole)).To(BeNumerically("<", maxReportBytes))
		_, err := decodeObservations(whole)
		Expect(err).NotTo(HaveOccurred())
		for limit := minObservationBytes; limit < len(whole); limit *= 2 {
			bounded := n.responseObservations(limit)
			Expect(len(bounded)).To(BeNumerically("<=", limit))
			Expect(bounded).NotTo(BeEmpty())
		}
		request, err := decodeObservations(n.requestObservations())
		Expect(err).NotTo(HaveOccurred())
		Expect(request[quarantine.Requests].Notices).To(BeEmpty())
		Expect(request[quarantine.Requests].Strikes).NotTo(BeEmpty())

		_, err = decodeObservations(n.encodeObservations(quarantine.Reports{quarantine.Requests: {Notices: notices}}))
		Expect(err).To(MatchError(ContainSubstring("notices of quarantine")))
		n.absorbObservations("n1", []byte("not MessagePack"))
		// A list of strikes that declares two billion of them.
		n.absorbObservations("n1", []byte("\x92\xc0\x81\xa1s\xdd\x7f\xff\xff\xff"))
	})
})
