package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/quarantine"
)

// newLedger gives a node an empty ledger, as a restart does.
func (nw *network) newLedger(n *simNode) {
	n.ledger = quarantine.NewLedger(quarantine.Config{Now: func() time.Time { return nw.now }}, log.NewNopLogger(), metrics.NewRegistry())
}

// refusing returns the number of live nodes that refuse prompts with the parts.
func (nw *network) refusing(parts ...string) (n int) {
	for _, node := range nw.ordered {
		if !node.dead && node.ledger.Match(append(parts, "another")) != nil {
			n++
		}
	}
	return n
}

// crash makes an engine crash under prompts with the parts, each sent by another node.
func (nw *network) crash(engine int, prompts ...[]string) {
	for i, shared := range prompts {
		prompt := append(shared, fmt.Sprint("own-", engine, "-", i))
		nw.ordered[nw.rng.IntN(len(nw.ordered))].ledger.Crashed(fmt.Sprint("engine-", engine), 1, prompt, nw.now)
	}
}

// TestNodesLearnTogetherWhatCrashesEngines guards against requests that crash one engine after
// the other because each node sees few of the crashes.
func TestNodesLearnTogetherWhatCrashesEngines(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{8, 88, 380} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			nw := newNetwork(g, nodes, 28)
			for _, n := range nw.ordered {
				nw.newLedger(n)
			}
			nw.run(4 * time.Second)
			before := nw.bytesSent()
			nw.run(time.Second)
			quiet := nw.bytesSent() - before
			// Beside each deadly request, sound ones with popular parts were about to begin.
			for i := range 5 {
				popular := fmt.Sprint("popular-", i%2)
				nw.crash(i, []string{popular, "deadly"}, []string{popular}, []string{fmt.Sprint("popular-", i), "beside"}, []string{"popular-0"})
				nw.run(400 * time.Millisecond)
				for _, sound := range []string{"popular-0", "popular-1", "popular-2", "popular-3", "popular-4", "beside"} {
					nw.ordered[nw.rng.IntN(nodes)].ledger.Sound([]string{sound, "x"})
				}
				nw.run(300 * time.Millisecond)
			}
			nw.run(2 * time.Second)
			g.Expect(nw.refusing("popular-1", "deadly")).To(Equal(nodes))
			g.Expect(nw.refusing("popular-0", "popular-1", "popular-2", "popular-3", "popular-4", "beside")).To(BeZero())
			nw.run(2 * time.Second)
			before = nw.bytesSent()
			nw.run(time.Second)
			g.Expect(float64(nw.bytesSent()-before)).To(BeNumerically("<", 1.25*float64(quiet)), "bytes sent")

			nw.newLedger(nw.ordered[nodes-1])
			g.Expect(nw.refusing("deadly")).To(Equal(nodes - 1))
			nw.run(2 * time.Second)
			g.Expect(nw.refusing("deadly")).To(Equal(nodes), "after the restart of a node")
		})
	}
}

// bytesSent returns the number of bytes that all nodes have sent.
func (nw *network) bytesSent() (n int) {
	for _, node := range nw.ordered {
		n += node.sent
	}
	return n
}

// TestSendsObservationsApartFromStates guards against nodes of an earlier build that can't
// decode the states of this one, as they accept no additional field.
func TestSendsObservationsApartFromStates(t *testing.T) {
	g := NewWithT(t)
	state := State{Node: Node{Name: "n", PeerAddress: "10.0.0.1:1"}}
	without, err := encodeState(&state)
	g.Expect(err).NotTo(HaveOccurred())
	state.Quarantine = &quarantine.Observations{Clearances: []quarantine.Clearance{{Part: 7}}}
	g.Expect(encodeState(&state)).To(Equal(without))
}
