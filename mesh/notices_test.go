package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/throttle"
)

// newThrottle gives a node an empty registry, as a restart does.
func (nw *network) newThrottle(n *simNode) *throttle.Registry {
	r := throttle.NewRegistry(throttle.Config{Now: func() time.Time { return nw.now }}, log.NewNopLogger(), metrics.NewRegistry())
	n.mesh.notices = r
	return r
}

// Guards against a limit that only the nodes know that the server told, against limits that
// outlast the server's need, and against messages that grow with the number of nodes.
func TestNodesLearnTheLimitsOfServers(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		nodes, servers int
		within         time.Duration
	}{
		{8, 5, 500 * time.Millisecond}, {40, 150, 8 * time.Second}, {380, 5, 2 * time.Second},
	} {
		t.Run(fmt.Sprint(test.nodes, " nodes ", test.servers, " servers"), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			nw := newNetwork(g, test.nodes, 31)
			registries := make([]*throttle.Registry, test.nodes)
			for i, n := range nw.ordered {
				registries[i] = nw.newThrottle(n)
			}
			knowing := func(limited bool) (n int) {
				for _, r := range registries {
					known := 0
					for s := range throttle.Server(test.servers) {
						if _, is := r.Rate(s); is == limited {
							known++
						}
					}
					if known == test.servers {
						n++
					}
				}
				return n
			}
			nw.run(2 * time.Second)
			before := nw.bytesSent()
			nw.run(time.Second)
			quiet := nw.bytesSent() - before
			for s := range throttle.Server(test.servers) {
				registries[nw.rng.IntN(test.nodes)].Observe(s, throttle.Statement{Limited: true, Rate: 2}, nw.now)
			}
			nw.run(test.within)
			g.Expect(knowing(true)).To(Equal(test.nodes))
			if test.nodes > 100 {
				// The rest would take minutes with the race detector.
				return
			}
			nw.run(2 * time.Second)
			before = nw.bytesSent()
			nw.run(time.Second)
			perServer := float64(nw.bytesSent()-before-quiet) / float64(test.nodes) / float64(test.servers)
			t.Logf("%.0f bytes per node, server and second", perServer)
			g.Expect(perServer).To(BeNumerically("<", 300))

			registries[test.nodes-1] = nw.newThrottle(nw.ordered[test.nodes-1])
			nw.run(test.within + 2*time.Second)
			g.Expect(knowing(true)).To(Equal(test.nodes), "after the restart of a node")

			for s := range throttle.Server(test.servers) {
				registries[nw.rng.IntN(test.nodes)].Observe(s, throttle.Statement{}, nw.now)
			}
			// The rate rises before the limit ends.
			nw.run(test.within + 4*time.Second)
			g.Expect(knowing(false)).To(Equal(test.nodes), "after the servers have recovered")
		})
	}
}

// Guards against a datagram with more notices than a node sends, and against arrivals that
// count as demand for slots.
func TestDecodesNotices(t *testing.T) {
	g := NewWithT(t)
	data, err := marshal(make([]throttle.Notice, throttle.MaxNotices+1))
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = decode(append([]byte{noticeHeader}, data...))
	g.Expect(err).To(MatchError(errTooManyNotices))
	_, _, err = decode([]byte{noticeHeader})
	g.Expect(err).To(HaveOccurred())
	g.Expect(IsArrivalKey(ArrivalKey("llm", "m"))).To(BeTrue())
	g.Expect(IsArrivalKey("m")).To(BeFalse())
}
