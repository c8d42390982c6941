package reach

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

var errRefused = errors.New("refused")

type clock struct{ at time.Time }

func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func newLedger() (*Ledger, *clock) {
	c := &clock{time.Unix(100, 0)}
	return NewLedger(func() time.Time { return c.at }, log.NewNopLogger(), metrics.NewRegistry()), c
}

// lose lets direct connections to n servers fail that another node reaches.
func lose(l *Ledger, n int) {
	for i := range n {
		l.Dialled(fmt.Sprint("e", i), errRefused)
		l.Detoured(fmt.Sprint("e", i), true)
	}
}

// Guards against a node that takes the loss of its links for faults of the servers (RECOVER).
func TestANodeThatOnlyOthersCanReplaceIsStranded(t *testing.T) {
	g := NewWithT(t)
	l, c := newLedger()
	l.Dialled("e9", nil)
	c.advance(2 * recent)
	lose(l, minStranded-1)
	g.Expect(l.Stranded()).To(BeFalse())
	g.Expect(l.Route("e0")).To(Equal(Route{Detour: true, Probe: true}))
	g.Expect(l.Route("e0")).To(Equal(Route{Detour: true}))
	g.Expect(l.Route("e9").Detour).To(BeFalse())
	lose(l, minStranded)
	g.Expect(l.Stranded()).To(BeTrue())
	g.Expect(l.Route("e9").Detour).To(BeTrue())
	g.Expect(l.Route("never used").Detour).To(BeTrue())
}

// Guards against detours around servers that have crashed, or that a node has never lost.
func TestServersThatNobodyReachesLeaveTheNodeInTouch(t *testing.T) {
	g := NewWithT(t)
	l, _ := newLedger()
	for i := range 20 {
		address := fmt.Sprint("e", i)
		l.Dialled(address, errRefused)
		l.Detoured(address, false)
		g.Expect(l.MayBeLink(address, true)).To(BeFalse())
	}
	g.Expect(l.Stranded()).To(BeFalse())
	g.Expect(l.Route("e0").Detour).To(BeFalse())
	g.Expect(l.Route("e99")).To(Equal(Route{}))
}

// Guards against another node that is asked about each server that crashes.
func TestASingleFailureIsTheServers(t *testing.T) {
	g := NewWithT(t)
	l, c := newLedger()
	l.Dialled("e0", errRefused)
	g.Expect(l.MayBeLink("e0", false)).To(BeFalse())
	g.Expect(l.MayBeLink("e0", true)).To(BeTrue())
	l.Dialled("e1", errRefused)
	l.Dialled("e2", errRefused)
	g.Expect(l.MayBeLink("e0", false)).To(BeTrue())
	c.advance(2 * recent)
	g.Expect(l.MayBeLink("e0", false)).To(BeFalse())
}

// Guards against detours for seconds after the links are back.
func TestADirectConnectionEndsTheDetour(t *testing.T) {
	g := NewWithT(t)
	l, c := newLedger()
	lose(l, 6)
	g.Expect(l.Stranded()).To(BeTrue())
	for range 40 {
		c.advance(probeInterval + time.Millisecond)
		for i := range 6 {
			if address := fmt.Sprint("e", i); l.Route(address).Probe {
				l.Dialled(address, errRefused)
				l.Detoured(address, true)
			}
		}
		g.Expect(l.Stranded()).To(BeTrue())
	}
	c.advance(probeInterval + time.Millisecond)
	for i := range 6 {
		address := fmt.Sprint("e", i)
		g.Expect(l.Route(address).Probe || !l.Stranded()).To(BeTrue())
		l.Dialled(address, nil)
		g.Expect(l.Route(address)).To(Equal(Route{}))
	}
	g.Expect(l.Stranded()).To(BeFalse())
}

// Guards against a node that reaches one failure domain and sends everything elsewhere.
func TestAReachableServerIsUsedDirectly(t *testing.T) {
	g := NewWithT(t)
	l, c := newLedger()
	lose(l, 6)
	g.Expect(l.Route("near").Probe).To(BeTrue())
	l.Dialled("near", nil)
	for range 20 {
		c.advance(100 * time.Millisecond)
		lose(l, 6)
		if r := l.Route("near"); r.Detour && r.Probe {
			l.Dialled("near", nil)
			g.Expect(l.Route("near")).To(Equal(Route{}))
		}
	}
}

// Guards against requests on connections that died with the link, one after the other.
func TestSilenceAsksForANewConnection(t *testing.T) {
	g := NewWithT(t)
	l, c := newLedger()
	l.Silent("e0")
	g.Expect(l.Route("e0")).To(Equal(Route{Fresh: true}))
	l.Dialled("e0", nil)
	g.Expect(l.Route("e0")).To(Equal(Route{}))
	l.Silent("e0")
	c.advance(2 * memory)
	g.Expect(l.Route("e0")).To(Equal(Route{}))
	g.Expect(l.Stranded()).To(BeFalse())
}

// Guards against memory that grows with each address that was ever used.
func TestOldAddressesAreForgotten(t *testing.T) {
	g := NewWithT(t)
	l, c := newLedger()
	for i := range 10 * maxPaths {
		c.advance(memory / 10)
		l.Dialled(fmt.Sprint("e", i), nil)
	}
	g.Expect(len(l.paths)).To(BeNumerically("<=", maxPaths))
}
