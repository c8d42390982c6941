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

// newGuard gives a node empty ledgers, as a restart does.
func (nw *network) newGuard(n *simNode) {
	n.guard = quarantine.NewGuard(quarantine.Config{Now: func() time.Time { return nw.now }}, log.NewNopLogger(), metrics.NewRegistry())
}

// refusing returns the number of live nodes that refuse prompts with the parts.
func (nw *network) refusing(parts ...string) (n int) {
	for _, node := range nw.ordered {
		if !node.dead && node.guard.Match(quarantine.Request{ID: "another", Prompt: append(parts, "another")}) != nil {
			n++
		}
	}
	return n
}

// crash makes an engine crash under prompts with the parts, each sent by another node.
func (nw *network) crash(engine int, prompts ...[]string) {
	for i, shared := range prompts {
		prompt := append(shared, fmt.Sprint("own-", engine, "-", i))
		nw.ordered[nw.rng.IntN(len(nw.ordered))].guard.Crashed(fmt.Sprint("engine-", engine), 1, quarantine.Request{ID: prompt[len(prompt)-1], Prompt: prompt}, false, nw.now)
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
				nw.newGuard(n)
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
					nw.ordered[nw.rng.IntN(nodes)].guard.Begun(quarantine.Request{Prompt: []string{sound, "x"}})
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

			nw.newGuard(nw.ordered[nodes-1])
			g.Expect(nw.refusing("deadly")).To(Equal(nodes - 1))
			nw.run(2 * time.Second)
			g.Expect(nw.refusing("deadly")).To(Equal(nodes), "after the restart of a node")
		})
	}
}

// TestNodesLearnTogetherOfARequestThatCrashesEngines guards against a request that crashes
// engine after engine because each of its repeats reaches another node, beside requests
// that ran at the same engines.
func TestNodesLearnTogetherOfARequestThatCrashesEngines(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{7, 380} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			nw := newNetwork(g, nodes, 34)
			for _, n := range nw.ordered {
				nw.newGuard(n)
			}
			nw.run(4 * time.Second)
			deadly := quarantine.Request{ID: "deadly", Prompt: []string{"shared", "x"}}
			refuse := func(r quarantine.Request) (n int) {
				for _, node := range nw.ordered {
					if node.guard.Match(r) != nil {
						n++
					}
				}
				return n
			}
			anyNode := func() *quarantine.Guard { return nw.ordered[nw.rng.IntN(nodes)].guard }
			for engine := range 3 {
				g.Expect(refuse(deadly)).To(BeZero())
				anyNode().Crashed(fmt.Sprint("engine-", engine), 1, deadly, false, nw.now)
				for i := range 16 {
					beside := quarantine.Request{ID: fmt.Sprint("beside-", engine, "-", i), Prompt: []string{"shared", "y"}}
					anyNode().Crashed(fmt.Sprint("engine-", engine), 1, beside, i%2 == 0, nw.now)
				}
				nw.run(700 * time.Millisecond)
				anyNode().Begun(quarantine.Request{Prompt: []string{"shared", "z"}})
			}
			nw.run(2 * time.Second)
			g.Expect(refuse(deadly)).To(Equal(nodes))
			g.Expect(refuse(quarantine.Request{ID: "beside-0-0", Prompt: []string{"shared", "y"}})).To(BeZero())
			nw.newGuard(nw.ordered[nodes-1])
			nw.run(2 * time.Second)
			g.Expect(refuse(deadly)).To(Equal(nodes), "after the restart of a node")
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
	for k := range state.Quarantine {
		state.Quarantine[k] = &quarantine.Observations{Clearances: []quarantine.Clearance{{Part: 7}}}
	}
	g.Expect(encodeState(&state)).To(Equal(without))
}
