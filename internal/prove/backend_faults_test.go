package prove

import (
	"math/rand/v2"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// withDurationRange returns the kind with another minimum and maximum duration of
// its faults.
func withDurationRange(kind faultKind, least, most time.Duration) faultKind {
	return func(c *cluster, random *rand.Rand) fault {
		f := kind(c, random)
		f.duration = [2]time.Duration{least, most}
		return f
	}
}

// server returns the current process of a plain server.
func (c *cluster) server(i int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[c.serverID(i)]
}

// drawRankZero picks a random engine that is rank 0 of a group and so serves the
// group's requests. If no engine reports that role, it picks any engine. It returns
// the engine's fabric domain and number.
func (c *cluster) drawRankZero(random *rand.Rand) (d, i int) {
	d, i = random.IntN(2), random.IntN(c.spec.engines)
	offset := random.IntN(2 * c.spec.engines)
	for step := range 2 * c.spec.engines {
		index := (step + offset) % (2 * c.spec.engines)
		report, err := c.fetchReport(c.engineAddress(index/c.spec.engines, index%c.spec.engines))
		if err == nil && report.Group != "" && report.Rank == 0 {
			return index / c.spec.engines, index % c.spec.engines
		}
	}
	return d, i
}

// killRankZero kills the rank 0 engine of a group and starts it again.
func killRankZero(c *cluster, random *rand.Rand) fault {
	d, i := c.drawRankZero(random)
	return fault{
		kind: "kill engine", target: c.engineID(d, i), duration: [2]time.Duration{500 * time.Millisecond, 3 * time.Second},
		begin: func() { c.engine(c.engineID(d, i)).kill() },
		end:   func() { c.startEngine(d, i) },
	}
}

// freezeRankZero suspends the rank 0 engine of a group.
func freezeRankZero(c *cluster, random *rand.Rand) fault {
	d, i := c.drawRankZero(random)
	return fault{
		kind: "freeze engine", target: c.engineID(d, i), duration: [2]time.Duration{500 * time.Millisecond, 4 * time.Second},
		begin: func() { c.engine(c.engineID(d, i)).freeze() },
		end:   func() { c.engine(c.engineID(d, i)).thaw() },
	}
}

// killServer kills a plain server and starts it again.
func killServer(c *cluster, random *rand.Rand) fault {
	i := random.IntN(c.spec.servers)
	return fault{
		kind: "kill server", target: c.serverID(i), duration: [2]time.Duration{300 * time.Millisecond, 2 * time.Second},
		begin: func() { c.server(i).kill() },
		end:   func() { c.startServer(i) },
	}
}

// freezeServer suspends a plain server.
func freezeServer(c *cluster, random *rand.Rand) fault {
	i := random.IntN(c.spec.servers)
	return fault{
		kind: "freeze server", target: c.serverID(i), duration: [2]time.Duration{500 * time.Millisecond, 3 * time.Second},
		begin: func() { c.server(i).freeze() },
		end:   func() { c.server(i).thaw() },
	}
}

// backendFault returns a kind that sets the faults of all engines, all plain
// servers, or both.
func backendFault(kind string, engines, servers bool, f func(random *rand.Rand) standin.BackendFaults) faultKind {
	return func(c *cluster, random *rand.Rand) fault {
		faults := f(random)
		forTargets := func(apply func(o *activeFaults[standin.BackendFaults], post func(standin.BackendFaults))) {
			if engines {
				apply(&c.activeEngineFaults, func(f standin.BackendFaults) { c.setBackendFaults(c.backendAddresses(true, false), f) })
			}
			if servers {
				apply(&c.activeServerFaults, func(f standin.BackendFaults) { c.setBackendFaults(c.backendAddresses(false, true), f) })
			}
		}
		return fault{
			kind: kind, target: "back ends", duration: [2]time.Duration{time.Second, 2 * time.Second},
			begin: func() {
				forTargets(func(o *activeFaults[standin.BackendFaults], post func(standin.BackendFaults)) {
					o.add(&faults, mergeBackendFaults, post)
				})
			},
			end: func() {
				forTargets(func(o *activeFaults[standin.BackendFaults], post func(standin.BackendFaults)) {
					o.remove(&faults, mergeBackendFaults, post)
				})
			},
		}
	}
}

// setBackendFaults sets the faults of the backend servers at the addresses.
func (c *cluster) setBackendFaults(addresses []string, f standin.BackendFaults) {
	for _, address := range addresses {
		c.control(address, "/control/faults", f)
	}
}

// backendAddresses returns the addresses of the backend servers of the chosen kinds
// whose processes are running and not suspended.
func (c *cluster) backendAddresses(engines, servers bool) (list []string) {
	for index := range 2 * c.spec.engines {
		d, i := index/c.spec.engines, index%c.spec.engines
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
	// unlimitedAnswers is a number of faulty answers that is never used up while a
	// fault lasts.
	unlimitedAnswers = 1 << 20
	// distortedAnswers is the number of answers that one backend server alters. It is
	// small so that the retries of a request get both altered and correct answers.
	distortedAnswers = 5
)

var (
	delayAnswers = backendFault("delay answers", true, true, func(random *rand.Rand) standin.BackendFaults {
		return standin.BackendFaults{DelayMs: 50 + random.Int64N(250)}
	})
	loseAnswers = backendFault("lose answers", true, true, func(*rand.Rand) standin.BackendFaults {
		return standin.BackendFaults{Lose: unlimitedAnswers}
	})
	cutAnswers = backendFault("cut answers", true, true, func(*rand.Rand) standin.BackendFaults {
		return standin.BackendFaults{Truncate: unlimitedAnswers}
	})
)

// distortions returns a kind of fault for each way in which engines or servers can
// alter answers.
func distortions() []faultKind {
	var kinds []faultKind
	for _, f := range []standin.BackendFaults{
		{Cross: distortedAnswers}, {CrossBody: distortedAnswers}, {Double: distortedAnswers}, {Truncate: distortedAnswers}, {Lose: distortedAnswers},
	} {
		set := func(*rand.Rand) standin.BackendFaults { return f }
		kinds = append(kinds, backendFault("distort engines", true, false, set),
			backendFault("distort servers", false, true, set))
	}
	return append(kinds, backendFault("distort engines", true, false, func(*rand.Rand) standin.BackendFaults {
		return standin.BackendFaults{DoubleEvents: distortedAnswers}
	}))
}
