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

// placements returns the newest placement of each fabric domain. It reads the
// platform's event file, which is possible while the platform is down.
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

// reserveMember picks a random group member (a rank 0 if firstRank is set) that is
// not under a fault, marks it as under a fault and returns its instance ID. It
// returns an empty string if there is none.
func (c *cluster) reserveMember(random *rand.Rand, firstRank bool) string {
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
	members = slices.DeleteFunc(members, func(id string) bool { return c.underFault[id] })
	draw := random.IntN(1 << 20)
	if len(members) == 0 {
		return ""
	}
	chosen := members[draw%len(members)]
	c.underFault[chosen] = true
	return chosen
}

// unreserve removes the mark that reserveMember set.
func (c *cluster) unreserve(ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		delete(c.underFault, id)
	}
}

// engine returns the current process of an engine.
func (c *cluster) engine(id string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engines[id]
}

// parseEngineID returns the indexes of the fabric domain and of the engine from an
// engine's instance ID.
func parseEngineID(id string) (d, i int) {
	_, _ = fmt.Sscanf(id, "e%d-%d", &d, &i)
	return d, i
}

// engineAddressByID returns the address of the engine with the instance ID.
func (c *cluster) engineAddressByID(id string) string { return c.engineAddress(parseEngineID(id)) }

// engineFault returns a kind of fault that applies to one group member. If every
// member is under a fault already, the fault does nothing.
func engineFault(kind string, firstRank bool, begin, end func(c *cluster, id string)) faultKind {
	return func(c *cluster, random *rand.Rand) fault {
		id := c.reserveMember(random, firstRank)
		f := fault{kind: kind, target: id, duration: [2]time.Duration{3500 * time.Millisecond, 4500 * time.Millisecond}}
		f.begin, f.end = func() {}, func() {}
		if id == "" {
			f.kind = "nothing"
			return f
		}
		f.begin = func() { begin(c, id) }
		f.end = func() { end(c, id); c.unreserve(id) }
		return f
	}
}

var (
	// killEngine kills a group member and starts it again.
	killEngine = engineFault(FaultKillEngine, false,
		func(c *cluster, id string) { c.engine(id).kill() },
		func(c *cluster, id string) { c.startEngine(parseEngineID(id)) })
	// freezeEngine suspends the process of a group member.
	freezeEngine = engineFault(FaultFreezeEngine, false,
		func(c *cluster, id string) { c.engine(id).freeze() },
		func(c *cluster, id string) { c.engine(id).thaw() })
	// hangEngine stops a rank 0 from answering; it still records the requests that
	// reach it.
	hangEngine = engineFault(FaultHangEngine, true,
		func(c *cluster, id string) { c.setEngineFaults(id, standin.BackendFaults{FreezeMs: 60_000}) },
		func(c *cluster, id string) { c.setEngineFaults(id, standin.BackendFaults{}) })
	// restartEngine makes an engine lose its role while its address stays reachable.
	restartEngine = engineFault("restart engine", false,
		func(c *cluster, id string) { c.control(c.engineAddressByID(id), "/control/restart", nil) },
		func(*cluster, string) {})
	// straggler delays the answers of a group member by 250, 500 or 900 ms.
	straggler = engineFault("straggler", false,
		func(c *cluster, id string) {
			_, i := parseEngineID(id)
			c.setEngineFaults(id, standin.BackendFaults{DelayMs: []int64{250, 500, 900}[i%3]})
		},
		func(c *cluster, id string) { c.setEngineFaults(id, standin.BackendFaults{}) })
)

// setEngineFaults replaces all faults of one engine.
func (c *cluster) setEngineFaults(id string, f standin.BackendFaults) {
	c.control(c.engineAddressByID(id), "/control/faults", f)
}

// freezeFabricDomain suspends every engine of a fabric domain that is not under
// another fault.
func freezeFabricDomain(c *cluster, random *rand.Rand) fault {
	d := random.IntN(2)
	var ids []string
	c.mu.Lock()
	for i := range c.spec.engines {
		if id := c.engineID(d, i); !c.underFault[id] {
			ids = append(ids, id)
			c.underFault[id] = true
		}
	}
	c.mu.Unlock()
	return fault{
		kind: FaultFreezeFabricDomain, target: strings.Join(ids, " "),
		duration: [2]time.Duration{3500 * time.Millisecond, 4500 * time.Millisecond},
		begin: func() {
			for _, id := range ids {
				c.engine(id).freeze()
			}
		},
		end: func() {
			for _, id := range ids {
				c.engine(id).thaw()
			}
			c.unreserve(ids...)
		},
	}
}
