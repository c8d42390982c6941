package measure

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// evenPolicyNamed returns a policy.
func evenPolicyNamed(name string) evenPolicy {
	return evenPolicies[slices.IndexFunc(evenPolicies, func(p evenPolicy) bool { return p.name == name })]
}

// Guards against requests that wait at one group while others have room, because the
// reports by which all nodes choose are older than they need to be.
func TestAlignedReportsLetFirstEventsBeOnTime(t *testing.T) {
	// goal is the time to the first event that callers of short answers expect.
	const goal = 250 * time.Millisecond
	for _, c := range []evenCase{
		{name: "63 nodes, load 0.80", nodes: 63, groups: 24, slots: 20, load: 0.8},
		{name: "63 nodes, load 0.95", nodes: 63, groups: 24, slots: 20, load: 0.95},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			// play returns the sum of the results of some seeds.
			play := func(name string) *evenResult {
				sum := newEvenSim(c, evenPolicyNamed(name), 1).result
				for seed := range uint64(5) {
					s := newEvenSim(c, evenPolicyNamed(name), seed)
					s.run()
					sum.first.Merge(s.result.first)
					sum.sent, sum.misplaced, sum.refused = sum.sent+s.result.sent, sum.misplaced+s.result.misplaced, sum.refused+s.result.refused
					sum.busiest, sum.samples = sum.busiest+s.result.busiest, sum.samples+s.result.samples
				}
				t.Logf("%s: busiest/mean %.2f, waited beside a free slot %.3f, first event p90 %d ms", name, sum.busiest/float64(sum.samples),
					float64(sum.misplaced)/float64(sum.sent), sum.first.ValueAtQuantile(90)/1000)
				return &sum
			}
			unaligned, aligned := play("two draws, unaligned reports"), play("two draws, aligned reports")
			g.Expect(aligned.misplaced).To(BeNumerically("<", unaligned.misplaced))
			g.Expect(aligned.busiest).To(BeNumerically("<", unaligned.busiest))
			g.Expect(aligned.refused).To(BeZero())
			g.Expect(aligned.first.ValueAtQuantile(90)).To(BeNumerically("<=", goal.Microseconds()))
		})
	}
}

// Guards against a division that fills some groups above others.
func TestLevelsFillTheLeastLoaded(t *testing.T) {
	g := NewWithT(t)
	l := levels{loads: []float64{2, 6, 4, 20}, sizes: []float64{1, 0.5, 1, 1}}
	g.Expect(l.shares(5)).To(Equal([]float64{3.5, 0, 1.5, 0}))
	for i, share := range l.shares(11.5) {
		g.Expect(share).To(BeNumerically("~", []float64{6.2, 1.1, 4.2, 0}[i], 1e-9))
	}
	counts := make([]int, 3)
	for i := range 100 {
		counts[drawByShare([]float64{1, 0, 3}, func(n int) int { return i * n / 100 })]++
	}
	g.Expect(counts).To(Equal([]int{25, 0, 75}))
}
