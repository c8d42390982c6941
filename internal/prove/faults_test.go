package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// fault is something that can be broken and mended again.
type fault struct {
	kind   string
	target string
	begin  func()
	// end mends the fault.
	end func()
	// hold is the least and the most time that the fault lasts.
	hold [2]time.Duration
}

// faultKind draws one fault of a kind from the seed.
type faultKind func(c *cluster, random *rand.Rand) fault

// schedule applies faults drawn by the seed, alone and in pairs, until ctx ends.
type schedule struct {
	cluster *cluster
	random  *rand.Rand
	kinds   []faultKind
	// first are applied before any other, one after another, for faults without
	// which a run of the point proves little.
	first []faultKind
	// rest is the least and the most time between faults.
	rest [2]time.Duration
	// singles, if not 0, is the number of faults that may come alone before
	// every kind was drawn once.
	singles int
}

// run returns when ctx has ended and every fault is mended. Each kind is drawn
// once before any is drawn again, so that short runs do not miss one.
func (s *schedule) run(ctx context.Context) {
	order := s.random.Perm(len(s.kinds))
	for _, kind := range s.first {
		f := kind(s.cluster, s.random)
		s.apply(ctx, f, between(s.random, f.hold))
		pause(ctx, between(s.random, s.rest))
	}
	alone := 0
	for next := 0; ctx.Err() == nil; {
		pause(ctx, between(s.random, s.rest))
		count := 1 + s.random.IntN(2)
		if count == 1 && s.singles > 0 && next < len(order) {
			if alone++; alone > s.singles {
				count = 2
			}
		}
		var group sync.WaitGroup
		for range count {
			f := s.kinds[order[next%len(order)]](s.cluster, s.random)
			hold := between(s.random, f.hold)
			next++
			if ctx.Err() != nil {
				break
			}
			group.Go(func() { s.apply(ctx, f, hold) })
		}
		group.Wait()
	}
}

// apply breaks, waits, and mends. The recorded time lies within the time that
// the fault lasted: it starts after the signal was sent.
func (s *schedule) apply(ctx context.Context, f fault, hold time.Duration) {
	f.begin()
	mended := s.cluster.recorder.Fault(f.kind, f.target)
	pause(ctx, hold)
	mended()
	f.end()
}

// between draws a time from a range.
func between(random *rand.Rand, limits [2]time.Duration) time.Duration {
	return limits[0] + time.Duration(random.Int64N(int64(limits[1]-limits[0])+1))
}

// isolationHold exceeds the bound of the configuration point, so that a node
// that serves on in isolation is found.
var isolationHold = [2]time.Duration{ConfigurationBound + 2*time.Second, ConfigurationBound + 4*time.Second}

// lasting returns the kind with other limits of the time that it lasts.
func lasting(kind faultKind, least, most time.Duration) faultKind {
	return func(c *cluster, random *rand.Rand) fault {
		f := kind(c, random)
		f.hold = [2]time.Duration{least, most}
		return f
	}
}

// killNode kills one daemon and starts it anew.
func killNode(c *cluster, random *rand.Rand) fault {
	i := random.IntN(c.spec.nodes)
	return fault{
		kind: "kill node", target: fmt.Sprint(i), hold: [2]time.Duration{500 * time.Millisecond, 4 * time.Second},
		begin: func() { c.node(i).kill() },
		end:   func() { c.startNode(i) },
	}
}

// freezeNode stops one daemon for longer than a lease.
func freezeNode(c *cluster, random *rand.Rand) fault {
	i := random.IntN(c.spec.nodes)
	var p *process
	return fault{
		kind: "freeze node", target: fmt.Sprint(i), hold: [2]time.Duration{time.Second, 7 * time.Second},
		begin: func() { p = c.node(i); p.freeze() },
		end:   func() { p.thaw() },
	}
}

// cutNodeFromPlatform cuts one daemon's link to the platform.
func cutNodeFromPlatform(c *cluster, random *rand.Rand) fault {
	i := random.IntN(c.spec.nodes)
	return fault{
		kind: "cut node from platform", target: fmt.Sprint(i), hold: [2]time.Duration{2 * time.Second, 8 * time.Second},
		begin: func() { c.cutPlatform(i, true) },
		end:   func() { c.cutPlatform(i, false) },
	}
}

// isolateNode cuts one daemon from the platform and from all peers, in both
// directions.
func isolateNode(c *cluster, random *rand.Rand) fault {
	i := random.IntN(c.spec.nodes)
	set := func(cut bool) {
		c.cutPlatform(i, cut)
		for j := range c.spec.nodes {
			c.cutPeers(i, j, cut)
			c.cutPeers(j, i, cut)
		}
	}
	return fault{
		kind: "isolate node", target: fmt.Sprint(i), hold: isolationHold,
		begin: func() { set(true) },
		end:   func() { set(false) },
	}
}

// cutOneWay cuts one daemon's calls to another one.
func cutOneWay(c *cluster, random *rand.Rand) fault {
	from := random.IntN(c.spec.nodes)
	to := (from + 1 + random.IntN(c.spec.nodes-1)) % c.spec.nodes
	return fault{
		kind: "cut one way", target: fmt.Sprintf("%d to %d", from, to), hold: [2]time.Duration{2 * time.Second, 8 * time.Second},
		begin: func() { c.cutPeers(from, to, true) },
		end:   func() { c.cutPeers(from, to, false) },
	}
}

// splitRegions cuts the last minority of daemons from the others and, with even
// chance, from the platform.
func splitRegions(c *cluster, random *rand.Rand) fault {
	minority := (c.spec.nodes - 1) / 2
	withPlatform := random.IntN(2) == 0
	set := func(cut bool) {
		for i := range minority {
			if !withPlatform {
				c.cutPlatform(i, cut)
			}
			for j := minority; j < c.spec.nodes; j++ {
				c.cutPeers(i, j, cut)
				c.cutPeers(j, i, cut)
			}
		}
	}
	return fault{
		kind: "split regions", target: fmt.Sprintf("%d nodes, platform %t", minority, withPlatform),
		hold:  isolationHold,
		begin: func() { set(true) },
		end:   func() { set(false) },
	}
}

// platformFault returns a kind that sets the platform's faults.
func platformFault(kind string, f func(random *rand.Rand) standin.PlatformFaults) faultKind {
	return func(c *cluster, random *rand.Rand) fault {
		faults := f(random)
		return fault{
			kind: kind, target: "platform", hold: [2]time.Duration{2 * time.Second, 8 * time.Second},
			begin: func() { c.atPlatform.begin(&faults, joinPlatform, c.platformFaults) },
			end:   func() { c.atPlatform.end(&faults, joinPlatform, c.platformFaults) },
		}
	}
}

var (
	platformDown = platformFault("platform down", func(*rand.Rand) standin.PlatformFaults {
		return standin.PlatformFaults{Down: true}
	})
	platformHang = platformFault("platform hangs", func(*rand.Rand) standin.PlatformFaults {
		return standin.PlatformFaults{Hang: true}
	})
	platformSlow = platformFault("platform slow", func(random *rand.Rand) standin.PlatformFaults {
		return standin.PlatformFaults{DelayMs: 100 + random.Int64N(900)}
	})
	platformLosesAnswers = platformFault("platform loses answers", func(random *rand.Rand) standin.PlatformFaults {
		return standin.PlatformFaults{LoseProbability: 0.5, Seed: random.Uint64()}
	})
)

// node returns the present process of a daemon.
func (c *cluster) node(i int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[i]
}
