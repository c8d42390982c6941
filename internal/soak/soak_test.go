package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// regressionSeeds are seeds whose runs failed in the past, with the cause of each.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "none: the seed of the short run"},
}

// Guards against the return of faults that earlier runs of the soak test found.
func TestSeeds(t *testing.T) {
	for _, r := range regressionSeeds {
		t.Run(r.cause, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			result, err := Run(context.Background(), Options{Program: filepath.Join("..", "..", "build", "bin", "rattanlanding"),
				Seed: r.seed, Length: 5 * time.Second, Nodes: 3, MeanInterval: 20 * time.Millisecond, Dir: t.TempDir(), Output: io.Discard})
			g.Expect(err).NotTo(HaveOccurred(), "run make build first")
			g.Expect(result.Violations).To(BeEmpty())
			g.Expect(result.Served).To(BeNumerically(">", 0))
		})
	}
}

// Guards against a failure that can't be reproduced because its seed gives other faults
// in the next run.
func TestPlanIsDeterminedByTheSeed(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newPlan(7, 10*time.Second)).To(Equal(newPlan(7, 10*time.Second)))
	g.Expect(newPlan(7, 10*time.Second)).NotTo(Equal(newPlan(8, 10*time.Second)))
	for seed := range uint64(50) {
		for _, f := range newPlan(seed, 10*time.Second) {
			g.Expect(f.start + f.duration).To(BeNumerically("<=", 10*time.Second+minFaultDuration))
			g.Expect(f.kind).NotTo(BeEmpty())
		}
	}
}

// Guards against link faults that have no effect, have a wrong effect or don't end.
func TestLinkFaults(t *testing.T) {
	g := NewWithT(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer target.Close()
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	l, err := newLink("127.0.0.1:0", target.Addr().String(), true)
	g.Expect(err).NotTo(HaveOccurred())
	defer l.close()
	echo := func(conn net.Conn) error {
		g.Expect(conn.SetDeadline(time.Now().Add(400 * time.Millisecond))).To(Succeed())
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", l.address())
		g.Expect(err).NotTo(HaveOccurred())
		return conn
	}
	conn := dial()
	g.Expect(echo(conn)).To(Succeed())
	for _, m := range []mode{blockBoth, blockToTarget, blockFromTarget} {
		l.begin(m)
		var timeout net.Error
		g.Expect(errors.As(echo(conn), &timeout) && timeout.Timeout()).To(BeTrue())
		l.end(m)
		conn = dial()
		g.Expect(echo(conn)).To(Succeed())
	}
	l.begin(delayData)
	started := time.Now()
	g.Expect(echo(conn)).To(Succeed())
	g.Expect(time.Since(started)).To(BeNumerically(">=", 2*linkDelay))
	l.end(delayData)
	l.begin(resetConns)
	g.Expect(echo(conn)).NotTo(Succeed())
	l.end(resetConns)
	g.Expect(echo(dial())).To(Succeed())

	// A crashed engine refuses connections also behind its link.
	again := target.Addr().String()
	g.Expect(target.Close()).To(Succeed())
	l.refuseLikeTarget(again)
	_, err = net.Dial("tcp", l.address())
	g.Expect(err).To(MatchError(syscall.ECONNREFUSED))
	target, err = net.Listen("tcp", again)
	g.Expect(err).NotTo(HaveOccurred())
	defer target.Close()
	g.Expect(l.setTarget(again)).To(Succeed())
	dial().Close()
}

// Guards against checks that don't detect violated guarantees.
func TestChecksReportViolations(t *testing.T) {
	g := NewWithT(t)
	calm := &node{}
	now := time.Now()
	ok := func() *call {
		return &call{id: "r", path: "/pay/x", key: "k1", node: calm, started: now, ended: now.Add(time.Second),
			status: 200, complete: true, engine: "e", originRequest: "r"}
	}
	for name, spoil := range map[string]func(*call){
		"the response to another request":       func(c *call) { c.originRequest = "other" },
		"a response without an engine":          func(c *call) { c.engine = "" },
		"a missing event":                       func(c *call) { c.path, c.events = "/chat/x", []int{1, 3} },
		"a duplicated event":                    func(c *call) { c.path, c.events = "/chat/x", []int{1, 1} },
		"a complete stream with too few events": func(c *call) { c.path, c.events = "/chat/x", []int{1, 2} },
		"an event of another request":           func(c *call) { c.foreignEvent = true },
	} {
		c := ok()
		spoil(c)
		g.Expect(c.checkResponse()).NotTo(BeEmpty(), name)
	}
	g.Expect(ok().checkResponse()).To(BeEmpty())
	g.Expect(ok().checkResponseTime()).To(BeEmpty())
	late := ok()
	late.ended = now.Add(requestTimeout + time.Second)
	g.Expect(late.checkResponseTime()).NotTo(BeEmpty())
	lost := ok()
	lost.status = 0
	g.Expect(lost.checkResponseTime()).NotTo(BeEmpty())
	w := &deployment{}
	denied := ok()
	denied.status = 401
	g.Expect(w.checkAuthorization(denied)).NotTo(BeEmpty())
	w.revokedAt = now.Add(-time.Minute)
	revoked := ok()
	revoked.key = "k2"
	g.Expect(w.checkAuthorization(revoked)).NotTo(BeEmpty())
	crashes := func(seconds ...float64) (times []time.Time) {
		for _, s := range seconds {
			times = append(times, now.Add(time.Duration(s*float64(time.Second))))
		}
		return times
	}
	g.Expect(checkCrashes("m", crashes(0, 0, 1, 2, 3, 3.9))).To(BeEmpty())
	g.Expect(checkCrashes("m", crashes(0, 0, 0, 0, 0, 0, 0))).To(HaveLen(1), "too many crashes")
	g.Expect(checkCrashes("m", crashes(0, 0, 1, 4.1))).To(HaveLen(1), "a late crash")
}
