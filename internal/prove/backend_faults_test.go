package prove

import (
	"math/rand/v2"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// held returns a kind with another length of its faults.
func held(kind faultKind, least, most time.Duration) faultKind {
	return func(c *cluster, random *rand.Rand) fault {
		f := kind(c, random)
		f.hold = [2]time.Duration{least, most}
		return f
	}
}

// server returns the present process of a plain server.
func (c *cluster) server(i int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[c.serverID(i)]
}

// rankZero draws the engine of a group's rank 0, which has the group's requests.
// Without a group that can be seen it draws any engine.
func (c *cluster) rankZero(random *rand.Rand) (d, i int) {
	d, i = random.IntN(2), random.IntN(c.spec.engines)
	offset := random.IntN(2 * c.spec.engines)
	for n := range 2 * c.spec.engines {
		at := (n + offset) % (2 * c.spec.engines)
		report, err := c.report(c.engineAddress(at/c.spec.engines, at%c.spec.engines))
		if err == nil && report.Group != "" && report.Rank == 0 {
			return at / c.spec.engines, at % c.spec.engines
		}
	}
	return d, i
}

// killRankZero kills the engine that holds a group's requests and starts it anew.
func killRankZero(c *cluster, random *rand.Rand) fault {
	d, i := c.rankZero(random)
	return fault{
		kind: "kill engine", target: c.engineID(d, i), hold: [2]time.Duration{500 * time.Millisecond, 3 * time.Second},
		begin: func() { c.engine(c.engineID(d, i)).kill() },
		end:   func() { c.startEngine(d, i) },
	}
}

// freezeRankZero stops the engine that holds a group's requests.
func freezeRankZero(c *cluster, random *rand.Rand) fault {
	d, i := c.rankZero(random)
	return fault{
		kind: "freeze engine", target: c.engineID(d, i), hold: [2]time.Duration{500 * time.Millisecond, 4 * time.Second},
		begin: func() { c.engine(c.engineID(d, i)).freeze() },
		end:   func() { c.engine(c.engineID(d, i)).thaw() },
	}
}

// killServer kills a plain server and starts it anew.
func killServer(c *cluster, random *rand.Rand) fault {
	i := random.IntN(c.spec.servers)
	return fault{
		kind: "kill server", target: c.serverID(i), hold: [2]time.Duration{300 * time.Millisecond, 2 * time.Second},
		begin: func() { c.server(i).kill() },
		end:   func() { c.startServer(i) },
	}
}

// freezeServer stops a plain server.
func freezeServer(c *cluster, random *rand.Rand) fault {
	i := random.IntN(c.spec.servers)
	return fault{
		kind: "freeze server", target: c.serverID(i), hold: [2]time.Duration{500 * time.Millisecond, 3 * time.Second},
		begin: func() { c.server(i).freeze() },
		end:   func() { c.server(i).thaw() },
	}
}

// backendFault returns a kind that sets the faults of every chosen back end.
func backendFault(kind string, engines, servers bool, f func(random *rand.Rand) standin.BackendFaults) faultKind {
	return func(c *cluster, random *rand.Rand) fault {
		faults := f(random)
		change := func(change func(o *overlay[standin.BackendFaults], post func(standin.BackendFaults))) {
			if engines {
				change(&c.atEngines, func(f standin.BackendFaults) { c.distort(c.backends(true, false), f) })
			}
			if servers {
				change(&c.atServers, func(f standin.BackendFaults) { c.distort(c.backends(false, true), f) })
			}
		}
		return fault{
			kind: kind, target: "back ends", hold: [2]time.Duration{time.Second, 2 * time.Second},
			begin: func() {
				change(func(o *overlay[standin.BackendFaults], post func(standin.BackendFaults)) {
					o.begin(&faults, joinBackend, post)
				})
			},
			end: func() {
				change(func(o *overlay[standin.BackendFaults], post func(standin.BackendFaults)) {
					o.end(&faults, joinBackend, post)
				})
			},
		}
	}
}

// distort sets the faults of back ends.
func (c *cluster) distort(addresses []string, f standin.BackendFaults) {
	for _, address := range addresses {
		c.control(address, "/control/faults", f)
	}
}

// backends returns the addresses of the back ends that run and are not frozen.
func (c *cluster) backends(engines, servers bool) (list []string) {
	for at := range 2 * c.spec.engines {
		d, i := at/c.spec.engines, at%c.spec.engines
		if p := c.engine(c.engineID(d, i)); engines && p.running() && !p.isFrozen() {
			list = append(list, c.engineAddress(d, i))
		}
	}
	for i := range c.spec.servers {
		if p := c.server(i); servers && p.running() && !p.isFrozen() {
			list = append(list, c.serverAddress(i))
		}
	}
	return list
}

const (
	// many is a number of answers that a fault does not use up while it lasts.
	many = 1 << 20
	// distorted is the number of answers that one back end distorts, so that the
	// retries of a request can meet distorted and sound answers.
	distorted = 5
)

var (
	delayAnswers = backendFault("delay answers", true, true, func(random *rand.Rand) standin.BackendFaults {
		return standin.BackendFaults{DelayMs: 50 + random.Int64N(250)}
	})
	loseAnswers = backendFault("lose answers", true, true, func(*rand.Rand) standin.BackendFaults {
		return standin.BackendFaults{Lose: many}
	})
	cutAnswers = backendFault("cut answers", true, true, func(*rand.Rand) standin.BackendFaults {
		return standin.BackendFaults{Truncate: many}
	})
)

// distortions returns a kind for each way in which engines or servers can
// distort answers.
func distortions() []faultKind {
	var kinds []faultKind
	for _, f := range []standin.BackendFaults{
		{Cross: distorted}, {CrossBody: distorted}, {Double: distorted}, {Truncate: distorted}, {Lose: distorted},
	} {
		set := func(*rand.Rand) standin.BackendFaults { return f }
		kinds = append(kinds, backendFault("distort engines", true, false, set),
			backendFault("distort servers", false, true, set))
	}
	return append(kinds, backendFault("distort engines", true, false, func(*rand.Rand) standin.BackendFaults {
		return standin.BackendFaults{DoubleEvents: distorted}
	}))
}
