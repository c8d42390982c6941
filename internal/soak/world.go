package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rattanlanding/rattanlanding/platform/platformtest"
)

// Sizes of the world.
const (
	engineDomains    = 2
	enginesPerDomain = 6
	plainServers     = 2
	streamEvents     = 40
)

// Times of the world.
const (
	// listedAfterCrash is how long the list keeps an engine that crashed.
	listedAfterCrash = 1200 * time.Millisecond
	// replacedAfter is the time after which another engine takes its place.
	replacedAfter = 2 * time.Second
	// drainTime is how long an engine that leaves goes on.
	drainTime = 2 * time.Second
	// startLimit bounds the start of the system, which isn't under test here.
	startLimit = 20 * time.Second
)

// engine is a backend server behind its link.
type engine struct {
	*platformtest.Engine
	link *link
}

// world is a whole deployment.
type world struct {
	base  string
	store *platformtest.Store
	fleet *platformtest.Fleet
	nodes []*node

	mu      sync.Mutex
	engines []*engine
	started int
	// revokedAt is when a key was taken away.
	revokedAt time.Time
}

// newWorld starts a deployment with its processes' logs in dir.
func newWorld(dir, program string, nodes int) (*world, error) {
	base, err := freeBase()
	if err != nil {
		return nil, err
	}
	w := &world{base: base}
	if w.store, err = platformtest.NewStore(base + ".1:7499"); err != nil {
		return nil, err
	}
	w.fleet = platformtest.NewFleet(w.store)
	w.store.Put("config", "main", platformtest.Configuration(1, "k1", "k2"))
	for i := range engineDomains * enginesPerDomain {
		if err := w.startEngine("llm", fmt.Sprint("d", i%engineDomains), streamEvents); err != nil {
			return w, err
		}
	}
	for range plainServers {
		if err := w.startEngine("desk", "", 0); err != nil {
			return w, err
		}
	}
	for i := range nodes {
		n, err := newNode(dir, program, base, w.store.Address(), i)
		if err != nil {
			return w, err
		}
		w.nodes = append(w.nodes, n)
	}
	return w, nil
}

func (w *world) startEngine(service, domain string, events int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &engine{}
	w.started++
	var err error
	e.Engine, err = w.fleet.Start(fmt.Sprint("i-", w.started), service, domain, events, func(address string) (string, error) {
		l, err := newLink("127.0.0.1:0", address)
		if err != nil {
			return "", err
		}
		e.link = l
		return l.address(), nil
	})
	if err == nil {
		w.engines = append(w.engines, e)
	}
	return err
}

// await waits until all nodes are ready and groups serve.
func (w *world) await(ctx context.Context) error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := w.openGroups() >= 1
		for _, n := range w.nodes {
			ready = ready && platformtest.IsReady(ctx, n.settings.ReadinessAddress)
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("the system did not start within %s: see %s", startLimit, filepath.Dir(w.nodes[0].file))
}

func (w *world) openGroups() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	open := 0
	for _, e := range w.engines {
		if e.IsOpen() {
			open++
		}
	}
	return open
}

// take removes the engine that a fault names from those alive; plain servers are few
// and stay.
func (w *world) take(target int) *engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var models []int
	for i, e := range w.engines {
		if e.Events > 0 {
			models = append(models, i)
		}
	}
	at := models[target%len(models)]
	e := w.engines[at]
	w.engines = append(w.engines[:at:at], w.engines[at+1:]...)
	return e
}

// alive returns the engines that weren't taken away.
func (w *world) alive() []*engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.engines)
}

// pick returns the engine that a fault names: half of the faults are those of plain
// servers, which alone run unsafe requests.
func (w *world) pick(target int) *engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var some []*engine
	for _, e := range w.engines {
		if (e.Events == 0) == (target%2 == 0) {
			some = append(some, e)
		}
	}
	return some[target/2%len(some)]
}

// apply begins a fault and returns what ends it.
func (w *world) apply(f fault) (end func()) {
	n := w.nodes[f.target%len(w.nodes)]
	nothing := func() {}
	switch f.kind {
	case nodeKill:
		n.trouble(settleTime)
		n.signal(syscall.SIGKILL)
		return nothing
	case allKill:
		for _, n := range w.nodes {
			n.trouble(settleTime)
			n.signal(syscall.SIGKILL)
		}
		return nothing
	case nodePause:
		n.trouble(f.lasts + settleTime)
		n.signal(syscall.SIGSTOP)
		return func() { n.signal(syscall.SIGCONT) }
	case nodeStop:
		n.trouble(stopTime + settleTime)
		n.signal(syscall.SIGTERM)
		return nothing
	case nodeHangUp:
		n.signal(syscall.SIGHUP)
		return nothing
	case storeDown:
		w.store.SetDown(true)
		return func() { w.store.SetDown(false) }
	case storeForget:
		w.store.DropHistory()
		return nothing
	case keyRevoked:
		w.store.Put("config", "main", platformtest.Configuration(2, "k1"))
		w.mu.Lock()
		w.revokedAt = time.Now()
		w.mu.Unlock()
		return nothing
	}
	if m, ok := storeModes[f.kind]; ok {
		n.store.begin(m)
		return func() { n.store.end(m) }
	}
	return w.applyToEngine(f)
}

// storeModes are the faults of one node's link to the store, engineModes those of the
// link to one engine.
var (
	storeModes  = map[kind]mode{storeReset: reset, storeSilent: silent, storeMute: mute, storeSlow: slow}
	engineModes = map[kind]mode{engineReset: reset, engineMute: mute, engineDeaf: deaf, engineSlow: slow}
)

func (w *world) applyToEngine(f fault) (end func()) {
	switch f.kind {
	case engineCrash:
		e := w.take(f.target)
		e.Crash(listedAfterCrash)
		e.link.begin(silent)
		return w.replace(e)
	case engineDrain:
		e := w.take(f.target)
		e.Drain()
		time.AfterFunc(drainTime, func() { e.Crash(0) })
		return w.replace(e)
	case ordersLate:
		engines := w.alive()
		for _, e := range engines {
			e.SetLateOrderRate(lateShare)
		}
		return func() {
			for _, e := range engines {
				e.SetLateOrderRate(0)
			}
		}
	case engineLost:
		e := w.pick(f.target)
		e.SetLossRate(lostShare)
		return func() { e.SetLossRate(0) }
	}
	e := w.pick(f.target)
	m := engineModes[f.kind]
	e.link.begin(m)
	return func() { e.link.end(m) }
}

// lateShare is the share of the orders that are late while some are.
const lateShare = 0.4

// lostShare is the share of the answers that an engine loses while it does.
const lostShare = 0.3

// replace starts an engine in the place of one that is gone.
func (w *world) replace(gone *engine) func() {
	return func() {
		time.Sleep(replacedAfter)
		if err := w.startEngine(gone.Service, gone.Domain, gone.Events); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "soak: engine not replaced:", err)
		}
	}
}

// play carries out a plan and returns when the last fault has ended.
func (w *world) play(plan []fault, note func(string)) {
	started := time.Now()
	var all sync.WaitGroup
	for _, f := range plan {
		time.Sleep(time.Until(started.Add(f.at)))
		note(f.String())
		end := w.apply(f)
		all.Go(func() {
			time.Sleep(f.lasts)
			end()
		})
	}
	all.Wait()
}

// close ends everything that the world started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.close()
	}
	if w.fleet != nil {
		w.fleet.Close()
	}
	w.mu.Lock()
	for _, e := range w.engines {
		e.link.close()
	}
	w.mu.Unlock()
	if w.store != nil {
		w.store.Close()
	}
}

// newRandom returns the source of a run's load.
func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x10ad)) }
