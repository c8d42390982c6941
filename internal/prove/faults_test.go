package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// fault is a fault that can be applied for a time.
type fault struct {
	kind   string
	target string
	begin  func()
	// end reverts the fault.
	end func()
	// duration is the minimum and maximum time for which the fault lasts.
	duration [2]time.Duration
}

// faultKind returns a random fault of one kind, such as one with a random target.
type faultKind func(c *cluster, random *rand.Rand) fault

// schedule applies random faults, one or two at a time. The seed determines them.
type schedule struct {
	cluster *cluster
	random  *rand.Rand
	kinds   []faultKind
	// first are the kinds that are applied before all others, one after another.
	// Without these faults a run of the point would test little.
	first []faultKind
	// gap is the minimum and maximum time between faults.
	gap [2]time.Duration
	// maxSingles limits the number of faults that are applied one at a time before
	// every kind was applied once; 0 means no limit.
	maxSingles int
}

// run applies faults until ctx ends and returns when all are reverted. The kinds
// take turns in random order, so that short runs do not miss one.
func (s *schedule) run(ctx context.Context) {
	order := s.random.Perm(len(s.kinds))
	for _, kind := range s.first {
		f := kind(s.cluster, s.random)
		s.apply(ctx, f, between(s.random, f.duration))
		pause(ctx, between(s.random, s.gap))
	}
	singles := 0
	for next := 0; ctx.Err() == nil; {
		pause(ctx, between(s.random, s.gap))
		count := 1 + s.random.IntN(2)
		if count == 1 && s.maxSingles > 0 && next < len(order) {
			if singles++; singles > s.maxSingles {
				count = 2
			}
		}
		var group sync.WaitGroup
		for range count {
			f := s.kinds[order[next%len(order)]](s.cluster, s.random)
			hold := between(s.random, f.duration)
			next++
			if ctx.Err() != nil {
				break
			}
			group.Go(func() { s.apply(ctx, f, hold) })
		}
		group.Wait()
	}
}

// apply begins the fault, waits for hold and ends it. The recorded period lies
// within the actual one: it starts after begin returned, so that a process has been
// sent its signal, and ends before end is called.
func (s *schedule) apply(ctx context.Context, f fault, hold time.Duration) {
	f.begin()
	recordEnd := s.cluster.recorder.StartFault(f.kind, f.target)
	pause(ctx, hold)
	recordEnd()
	f.end()
}

// between returns a random duration within the limits, a minimum and a maximum.
func between(random *rand.Rand, limits [2]time.Duration) time.Duration {
	return limits[0] + time.Duration(random.Int64N(int64(limits[1]-limits[0])+1))
}

// isolationDuration exceeds ConfigurationBound, so that the check finds a node that
// goes on serving while it is isolated.
var isolationDuration = [2]time.Duration{ConfigurationBound + 2*time.Second, ConfigurationBound + 4*time.Second}

// withDuration returns the kind with another minimum and maximum duration of its
// faults.
func withDuration(kind faultKind, least, most time.Duration) faultKind {
	return func(c *cluster, random *rand.Rand) fault {
		f := kind(c, random)
		f.duration = [2]time.Duration{least, most}
		return f
	}
}

// killNode kills one daemon and starts it again.
func killNode(c *cluster, random *rand.Rand) fault {
	i := random.IntN(c.spec.nodes)
	return fault{
		kind: "kill node", target: fmt.Sprint(i), duration: [2]time.Duration{500 * time.Millisecond, 4 * time.Second},
		begin: func() { c.node(i).kill() },
		end:   func() { c.startNode(i) },
	}
}

// freezeNode suspends one daemon, by default for 1 to 7 s; this can exceed the
// lease duration, 4 s.
func freezeNode(c *cluster, random *rand.Rand) fault {
	i := random.IntN(c.spec.nodes)
	var p *process
	return fault{
		kind: "freeze node", target: fmt.Sprint(i), duration: [2]time.Duration{time.Second, 7 * time.Second},
		begin: func() { p = c.node(i); p.freeze() },
		end:   func() { p.thaw() },
	}
}

// cutNodeFromPlatform cuts one daemon's link to the platform.
func cutNodeFromPlatform(c *cluster, random *rand.Rand) fault {
	i := random.IntN(c.spec.nodes)
	return fault{
		kind: "cut node from platform", target: fmt.Sprint(i), duration: [2]time.Duration{2 * time.Second, 8 * time.Second},
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
		kind: "isolate node", target: fmt.Sprint(i), duration: isolationDuration,
		begin: func() { set(true) },
		end:   func() { set(false) },
	}
}

// cutOneWay cuts one daemon's calls to another one.
func cutOneWay(c *cluster, random *rand.Rand) fault {
	from := random.IntN(c.spec.nodes)
	to := (from + 1 + random.IntN(c.spec.nodes-1)) % c.spec.nodes
	return fault{
		kind: "cut one way", target: fmt.Sprintf("%d to %d", from, to), duration: [2]time.Duration{2 * time.Second, 8 * time.Second},
		begin: func() { c.cutPeers(from, to, true) },
		end:   func() { c.cutPeers(from, to, false) },
	}
}

// splitRegions cuts a minority of the daemons, those with the lowest indexes, from
// the other daemons and, with a probability of one half, from the platform.
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
		duration: isolationDuration,
		begin:    func() { set(true) },
		end:      func() { set(false) },
	}
}

// platformFault returns a kind that applies faults to the platform.
func platformFault(kind string, f func(random *rand.Rand) standin.PlatformFaults) faultKind {
	return func(c *cluster, random *rand.Rand) fault {
		faults := f(random)
		return fault{
			kind: kind, target: "platform", duration: [2]time.Duration{2 * time.Second, 8 * time.Second},
			begin: func() { c.activePlatformFaults.add(&faults, mergePlatformFaults, c.setPlatformFaults) },
			end:   func() { c.activePlatformFaults.remove(&faults, mergePlatformFaults, c.setPlatformFaults) },
		}
	}
}

var (
	// platformDown makes the platform refuse all calls.
	platformDown = platformFault("platform down", func(*rand.Rand) standin.PlatformFaults {
		return standin.PlatformFaults{Down: true}
	})
	// platformHang makes the platform accept calls and never answer.
	platformHang = platformFault("platform hangs", func(*rand.Rand) standin.PlatformFaults {
		return standin.PlatformFaults{Hang: true}
	})
	// platformSlow delays the platform's answers by 100 ms to 1 s.
	platformSlow = platformFault("platform slow", func(random *rand.Rand) standin.PlatformFaults {
		return standin.PlatformFaults{DelayMs: 100 + random.Int64N(900)}
	})
	// platformLosesAnswers applies writes but loses the answers of half of them.
	platformLosesAnswers = platformFault("platform loses answers", func(random *rand.Rand) standin.PlatformFaults {
		return standin.PlatformFaults{LoseProbability: 0.5, Seed: random.Uint64()}
	})
)

// node returns the current process of a daemon.
func (c *cluster) node(i int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[i]
}
