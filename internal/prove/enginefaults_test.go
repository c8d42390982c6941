package prove

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// placements returns the newest placements by the platform's record, which can
// be read while the platform is down.
func (c *cluster) placements() map[string]fleet.Placement {
	events, err := ReadEvents(c.eventsFile("platform"))
	if err != nil {
		c.t.Error(err)
	}
	newest := map[string]fleet.Placement{}
	for _, w := range placementWrites(&History{Events: events}, &Result{}) {
		newest[w.key] = w.placement
	}
	return newest
}

// takeMember draws a placed member that is under no fault and marks it. It is
// empty if there is none.
func (c *cluster) takeMember(random *rand.Rand, firstRank bool) string {
	var members []string
	for _, placement := range c.placements() {
		for _, g := range placement.Groups {
			for rank, m := range g.Members {
				if rank == 0 || !firstRank {
					members = append(members, m.Instance)
				}
			}
		}
	}
	slices.Sort(members)
	c.mu.Lock()
	defer c.mu.Unlock()
	members = slices.DeleteFunc(members, func(id string) bool { return c.faulty[id] })
	draw := random.IntN(1 << 20)
	if len(members) == 0 {
		return ""
	}
	chosen := members[draw%len(members)]
	c.faulty[chosen] = true
	return chosen
}

// release ends the mark of takeMember.
func (c *cluster) release(ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		delete(c.faulty, id)
	}
}

// engine returns the present process of an engine.
func (c *cluster) engine(id string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engines[id]
}

// number returns the fabric domain and the number in an engine's ID.
func number(id string) (d, i int) {
	_, _ = fmt.Sscanf(id, "e%d-%d", &d, &i)
	return d, i
}

// address returns an engine's address by its ID.
func (c *cluster) address(id string) string { return c.engineAddress(number(id)) }

// engineFault returns a kind of fault of one placed member. Without a member
// that is free of faults nothing happens.
func engineFault(kind string, firstRank bool, begin, end func(c *cluster, id string)) faultKind {
	return func(c *cluster, random *rand.Rand) fault {
		id := c.takeMember(random, firstRank)
		f := fault{kind: kind, target: id, hold: [2]time.Duration{3500 * time.Millisecond, 4500 * time.Millisecond}}
		f.begin, f.end = func() {}, func() {}
		if id == "" {
			f.kind = "nothing"
			return f
		}
		f.begin = func() { begin(c, id) }
		f.end = func() { end(c, id); c.release(id) }
		return f
	}
}

var (
	killEngine = engineFault(FaultKillEngine, false,
		func(c *cluster, id string) { c.engine(id).kill() },
		func(c *cluster, id string) { c.startEngine(number(id)) })
	freezeEngine = engineFault(FaultFreezeEngine, false,
		func(c *cluster, id string) { c.engine(id).freeze() },
		func(c *cluster, id string) { c.engine(id).thaw() })
	// hangEngine stops rank 0, whose record still shows what is sent to it.
	hangEngine = engineFault(FaultHangEngine, true,
		func(c *cluster, id string) { c.backendFaults(id, standin.BackendFaults{FreezeMs: 60_000}) },
		func(c *cluster, id string) { c.backendFaults(id, standin.BackendFaults{}) })
	// restartEngine lets an engine forget its role while its address answers on.
	restartEngine = engineFault("restart engine", false,
		func(c *cluster, id string) { c.control(c.address(id), "/control/restart", nil) },
		func(*cluster, string) {})
	straggler = engineFault("straggler", false,
		func(c *cluster, id string) {
			_, i := number(id)
			c.backendFaults(id, standin.BackendFaults{DelayMs: []int64{250, 500, 900}[i%3]})
		},
		func(c *cluster, id string) { c.backendFaults(id, standin.BackendFaults{}) })
)

func (c *cluster) backendFaults(id string, f standin.BackendFaults) {
	c.control(c.address(id), "/control/faults", f)
}

// darkDomain stops every engine of a fabric domain that is under no fault.
func darkDomain(c *cluster, random *rand.Rand) fault {
	d := random.IntN(2)
	var ids []string
	c.mu.Lock()
	for i := range c.spec.engines {
		if id := c.engineID(d, i); !c.faulty[id] {
			ids = append(ids, id)
			c.faulty[id] = true
		}
	}
	c.mu.Unlock()
	return fault{
		kind: FaultDarkDomain, target: strings.Join(ids, " "),
		hold: [2]time.Duration{3500 * time.Millisecond, 4500 * time.Millisecond},
		begin: func() {
			for _, id := range ids {
				c.engine(id).freeze()
			}
		},
		end: func() {
			for _, id := range ids {
				c.engine(id).thaw()
			}
			c.release(ids...)
		},
	}
}
