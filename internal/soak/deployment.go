package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rattanlanding/rattanlanding/platform/platformtest"
)

// Sizes of a deployment.
const (
	// engineDomains is the number of domains over which model engines are spread.
	engineDomains    = 2
	enginesPerDomain = 6
	plainServers     = 2
	// streamEvents is the number of events of each stream.
	streamEvents = 40
)

// Times of a deployment.
const (
	// listedAfterCrash is the time for which a crashed engine stays in the list.
	listedAfterCrash = 1200 * time.Millisecond
	// replacementDelay is the time from the end of an engine's fault to the start of
	// its replacement.
	replacementDelay = 2 * time.Second
	// drainTime is the time for which a draining engine goes on serving.
	drainTime = 2 * time.Second
	// startTimeout limits the start of the system, which isn't under test here.
	startTimeout = 20 * time.Second
)

// engine is a backend server behind its link.
type engine struct {
	*platformtest.Engine
	link *link
}

// deployment is a store, engines and nodes.
type deployment struct {
	// prefix is the first three octets of the deployment's loopback addresses.
	prefix string
	store  *platformtest.Store
	fleet  *platformtest.Fleet
	nodes  []*node

	mu sync.Mutex
	// engines are those that neither crashed nor drain.
	engines []*engine
	// enginesStarted is the number of engines started so far, from which their IDs
	// follow.
	enginesStarted int
	// configurationVersion and keys are those of the newest configuration.
	configurationVersion int
	keys                 []string
	// copies are older copies of the store, the oldest first.
	copies []*platformtest.StoreCopy
	// found are violations that were detected during the run.
	found []string
	// deadly sends requests that crash engines.
	deadly *deadlyCaller
	// evacuated counts the evacuations of each failure domain.
	evacuated map[string]int
	// storeDisturbedUntil is the end of the latest fault of the store or of a link to it.
	storeDisturbedUntil time.Time
	// revokedAt is the time at which key k2 was revoked, or zero.
	revokedAt time.Time
}

// newDeployment starts a deployment whose processes write their logs to dir. On an
// error it may return a partial deployment, which the caller must close.
func newDeployment(dir, program string, nodes int) (*deployment, error) {
	prefix, err := freeAddressPrefix()
	if err != nil {
		return nil, err
	}
	d := &deployment{prefix: prefix, evacuated: map[string]int{}}
	if d.store, err = platformtest.NewStore(prefix + ".1:7499"); err != nil {
		return nil, err
	}
	d.fleet = platformtest.NewFleet(d.store)
	d.configure("k1", "k2")
	for i := range engineDomains * enginesPerDomain {
		if err := d.startEngine("llm", fmt.Sprint("d", i%engineDomains), streamEvents); err != nil {
			return d, err
		}
	}
	for range plainServers {
		if err := d.startEngine("desk", "", 0); err != nil {
			return d, err
		}
	}
	for i := range nodes {
		n, err := newNode(dir, program, prefix, d.store.Address(), i)
		if err != nil {
			return d, err
		}
		d.nodes = append(d.nodes, n)
	}
	d.deadly = newDeadlyCaller(d.fleet.Deadly(), d.nodes)
	return d, nil
}

// startEngine starts an engine behind a link. An engine with 0 events is a plain server.
func (d *deployment) startEngine(service, domain string, events int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := &engine{}
	d.enginesStarted++
	var err error
	e.Engine, err = d.fleet.Start(fmt.Sprint("i-", d.enginesStarted), service, domain, events, func(address string) (string, error) {
		if e.link != nil {
			// The engine starts again.
			return e.link.address(), e.link.setTarget(address)
		}
		l, err := newLink("127.0.0.1:0", address, true)
		if err != nil {
			return "", err
		}
		e.link = l
		return l.address(), nil
	})
	if err == nil {
		e.SetZone(zoneOf(domain))
		d.engines = append(d.engines, e)
	}
	return err
}

// waitReady waits until all nodes are ready and at least one group is open.
func (d *deployment) waitReady(ctx context.Context) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := d.openGroups() >= 1
		for _, n := range d.nodes {
			ready = ready && platformtest.IsReady(ctx, n.settings.ReadinessAddress)
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("no open group or not all nodes ready within %s of the start: see the logs in %s", startTimeout, filepath.Dir(d.nodes[0].settingsFile))
}

// openGroups returns the number of open groups.
func (d *deployment) openGroups() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	open := 0
	for _, e := range d.engines {
		if e.IsOpen() {
			open++
		}
	}
	return open
}

// removeEngine removes the model engine that a fault's target selects from the live
// engines. Plain servers are few and are never removed.
func (d *deployment) removeEngine(target int) *engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var modelEngines []int
	for i, e := range d.engines {
		if e.Events > 0 {
			modelEngines = append(modelEngines, i)
		}
	}
	at := modelEngines[target%len(modelEngines)]
	e := d.engines[at]
	d.engines = append(d.engines[:at:at], d.engines[at+1:]...)
	return e
}

// liveEngines returns the engines that weren't removed.
func (d *deployment) liveEngines() []*engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.engines)
}

// selectEngine returns the engine that a fault's target selects. Half of the targets
// select plain servers, because only those run non-idempotent requests.
func (d *deployment) selectEngine(target int) *engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var candidates []*engine
	for _, e := range d.engines {
		if (e.Events == 0) == (target%2 == 0) {
			candidates = append(candidates, e)
		}
	}
	return candidates[target/2%len(candidates)]
}

// inject begins a fault and returns the function that ends it.
func (d *deployment) inject(f fault) (end func()) {
	n := d.nodes[f.target%len(d.nodes)]
	noop := func() {}
	if strings.HasPrefix(string(f.kind), "store-") && f.kind != storeOdd {
		d.mu.Lock()
		d.storeDisturbedUntil = later(d.storeDisturbedUntil, time.Now().Add(f.duration+settleTime))
		d.mu.Unlock()
	}
	switch f.kind {
	case nodeKill:
		n.markDisturbed(settleTime)
		n.signal(syscall.SIGKILL)
		return noop
	case allKill:
		for _, n := range d.nodes {
			n.markDisturbed(settleTime)
			n.signal(syscall.SIGKILL)
		}
		return noop
	case nodePause:
		n.markDisturbed(f.duration + settleTime)
		n.signal(syscall.SIGSTOP)
		return func() { n.signal(syscall.SIGCONT) }
	case nodeStop:
		n.markDisturbed(stopTime + settleTime)
		n.signal(syscall.SIGTERM)
		return noop
	case nodeHangUp:
		n.signal(syscall.SIGHUP)
		return noop
	case storeDown:
		d.store.SetDown(true)
		return func() { d.store.SetDown(false) }
	case storeForget:
		d.store.DropHistory()
		return noop
	case keyRevoked:
		d.configure("k1")
		d.mu.Lock()
		d.revokedAt = time.Now()
		d.mu.Unlock()
		return noop
	case evacuation:
		return d.evacuate(f.target)
	case deadlyRequest:
		return d.deadly.begin(f)
	case storeOdd:
		return d.addOddEntry(f.target)
	case storeRestored:
		d.store.SetDown(true)
		return func() { d.restoreStore(f.target) }
	}
	if m, ok := storeModes[f.kind]; ok {
		n.store.begin(m)
		return func() { n.store.end(m) }
	}
	return d.injectEngineFault(f)
}

var (
	// storeModes are the modes of faults of one node's link to the store.
	storeModes = map[kind]mode{storeReset: resetConns, storeSilent: blockBoth, storeMute: blockFromTarget, storeSlow: delayData}
	// engineModes are the modes of faults of the link to one engine.
	engineModes = map[kind]mode{engineReset: resetConns, engineMute: blockFromTarget, engineDeaf: blockToTarget, engineSlow: delayData}
)

// injectEngineFault begins a fault of one engine, or of the orders to all of them, and
// returns the function that ends it.
func (d *deployment) injectEngineFault(f fault) (end func()) {
	switch f.kind {
	case engineCrash:
		e := d.removeEngine(f.target)
		e.Crash(listedAfterCrash)
		e.link.begin(blockBoth)
		return d.replace(e)
	case engineDrain:
		e := d.removeEngine(f.target)
		e.Drain()
		time.AfterFunc(drainTime, func() { e.Crash(0) })
		return d.replace(e)
	case ordersLate:
		engines := d.liveEngines()
		for _, e := range engines {
			e.SetLateCommandRate(lateOrderFraction)
		}
		return func() {
			for _, e := range engines {
				e.SetLateCommandRate(0)
			}
		}
	case engineLimited:
		e, rate := d.selectEngine(f.target), 1+f.target%maxLimit
		e.SetLimit(strconv.Itoa(rate))
		started, born := time.Now(), e.Born()
		return func() {
			if e.Born() == born {
				// An engine that has started again states no limit.
				d.checkLimit(e, float64(rate), started)
			}
			e.SetLimit("")
		}
	case engineSilent:
		d.selectEngine(f.target).Silence(min(f.duration, maxSilence))
		return func() {}
	case engineUnframed:
		e := d.selectEngine(f.target)
		e.SetUnframed(true)
		return func() { e.SetUnframed(false) }
	case engineLost:
		e := d.selectEngine(f.target)
		e.SetLossRate(lostResponseFraction)
		return func() { e.SetLossRate(0) }
	}
	e := d.selectEngine(f.target)
	m := engineModes[f.kind]
	e.link.begin(m)
	return func() { e.link.end(m) }
}

// lateOrderFraction is the fraction of orders that are delayed during a fault of kind
// ordersLate.
const lateOrderFraction = 0.4

// maxSilence is the longest silence of an engine that goes on.
const maxSilence = 1200 * time.Millisecond

// lostResponseFraction is the fraction of responses that an engine loses during a fault
// of kind engineLost.
const lostResponseFraction = 0.3

// replace returns a function that starts a replacement of a removed engine after
// replacementDelay.
func (d *deployment) replace(gone *engine) func() {
	return func() {
		time.Sleep(replacementDelay)
		if err := d.startEngine(gone.Service, gone.Domain, gone.Events); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "soak: engine not replaced; the run goes on without it:", err)
		}
	}
}

// runPlan injects the faults of a plan and returns when the last one has ended.
func (d *deployment) runPlan(plan []fault, logLine func(string)) {
	started := time.Now()
	var active sync.WaitGroup
	for _, f := range plan {
		time.Sleep(time.Until(started.Add(f.start)))
		logLine(f.String())
		end := d.inject(f)
		active.Go(func() {
			time.Sleep(f.duration)
			end()
		})
	}
	active.Wait()
}

// close stops everything that the deployment started.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.close()
	}
	if d.fleet != nil {
		d.fleet.Close()
	}
	d.mu.Lock()
	for _, e := range d.engines {
		e.link.close()
	}
	d.mu.Unlock()
	if d.store != nil {
		d.store.Close()
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// newRandom returns the random source of a load.
func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x10ad)) }
