package reach

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
)

const (
	// memory is how long a failed connection, or a detour that worked, counts.
	memory = 3 * time.Second
	// recent is the age up to which an established connection shows that a link works, and
	// the time for which another node's failure to reach a server isn't questioned.
	recent = time.Second
	// probeInterval is the time between two direct connections that are tried to an address
	// to which requests take detours.
	probeInterval = 250 * time.Millisecond
	// minFailing is the number of other addresses whose connections must fail before another
	// node is asked about a server from which no node receives events: that one server fails is
	// more likely than that a link does.
	minFailing = 2
	// minStranded is the number of servers that only other nodes must reach before this node
	// is stranded.
	minStranded = 3
	// maxPaths is the number of addresses from which those without recent entries are dropped.
	maxPaths = 256
)

// Route is the way by which a request is sent to an address.
type Route struct {
	// Detour is true if the request goes through another node.
	Detour bool
	// Fresh is true if a direct request needs a new connection: the open ones may be dead.
	Fresh bool
	// Probe is true if a direct connection should be tried in the background, beside those of
	// DueProbes.
	Probe bool
}

// Ledger holds the state of the paths to the backend servers. It is safe for concurrent use.
type Ledger struct {
	now    func() time.Time
	logger log.Logger
	gauge  metrics.Gauge
	// doubts is the number of paths that may be other than sound. It keeps the lock off the
	// path of requests while there are none.
	doubts atomic.Int64

	mu       sync.Mutex
	paths    map[string]*path
	stranded bool
}

// path is the state of the direct path to one address. The times are those of the last
// occurrence, zero for none.
type path struct {
	reachedAt time.Time
	// failedAt is when a connection wasn't established, since the last one that was.
	failedAt time.Time
	// silentAt is when a request on an open connection got no answer, since then.
	silentAt time.Time
	// detouredAt is when another node reached the address, since then.
	detouredAt time.Time
	// deniedAt is when another node didn't reach it either.
	deniedAt time.Time
	probedAt time.Time
}

// isLost reports whether only other nodes reach the address.
func (p *path) isLost() bool { return !p.failedAt.IsZero() && !p.detouredAt.IsZero() }

func (p *path) doubtful() bool {
	return !p.failedAt.IsZero() || !p.silentAt.IsZero() || !p.detouredAt.IsZero() || !p.deniedAt.IsZero()
}

// NewLedger returns an empty ledger. now is the clock; nil means time.Now.
func NewLedger(now func() time.Time, logger log.Logger, registry metrics.Registry) *Ledger {
	if now == nil {
		now = time.Now
	}
	return &Ledger{now: now, logger: log.With(logger, "component", "reach"), paths: map[string]*path{},
		gauge: metrics.GetOrRegisterGauge("reach.stranded", registry)}
}

// Dialled records the outcome of a direct connection.
func (l *Ledger) Dialled(address string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	p := l.path(address, now)
	if err != nil {
		p.failedAt = now
	} else {
		*p = path{reachedAt: now}
	}
	l.update(now)
}

// Silent records that a request on an open direct connection got no answer in time.
func (l *Ledger) Silent(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.path(address, now).silentAt = now
	l.update(now)
}

// Detoured records whether another node has reached an address.
func (l *Ledger) Detoured(address string, reached bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	p := l.path(address, now)
	if reached {
		p.detouredAt, p.deniedAt = now, time.Time{}
	} else {
		p.detouredAt, p.deniedAt = time.Time{}, now
	}
	l.update(now)
}

// Route returns the way by which to send a request to an address.
func (l *Ledger) Route(address string) Route {
	if l.doubts.Load() == 0 {
		return Route{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.update(now)
	p := l.paths[address]
	switch {
	case p == nil && !l.stranded:
		return Route{}
	case p == nil:
		p = l.path(address, now)
	case within(p.reachedAt, now, recent) && !p.doubtful():
		return Route{}
	}
	if !l.stranded && p.detouredAt.IsZero() {
		return Route{Fresh: within(p.silentAt, now, memory) || within(p.failedAt, now, memory)}
	}
	probe := !within(p.probedAt, now, probeInterval)
	if probe {
		p.probedAt = now
	}
	return Route{Detour: true, Probe: probe}
}

// MayBeLink reports whether another node should be asked about an address to which a direct
// connection failed: it may be the link of this node that has failed. progress is true if
// other nodes receive events from the server.
func (l *Ledger) MayBeLink(address string, progress bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if p := l.paths[address]; p != nil && within(p.deniedAt, now, recent) {
		return false
	}
	if progress || l.stranded {
		return true
	}
	failing := 0
	for other, p := range l.paths {
		if other != address && within(p.failedAt, now, recent) && !within(p.deniedAt, now, recent) {
			failing++
		}
	}
	return failing >= minFailing
}

// Stranded reports whether this node reaches few servers by itself, while others reach them.
func (l *Ledger) Stranded() bool {
	if l.doubts.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(l.now())
	return l.stranded
}

// InTouch reports whether this node has reached servers by itself a short time ago, and failed to
// reach fewer. A node that hasn't can't tell a server that has failed from a link.
func (l *Ledger) InTouch() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, reached, failing := l.now(), 0, 0
	for _, p := range l.paths {
		switch {
		case within(p.failedAt, now, recent):
			failing++
		case within(p.reachedAt, now, recent):
			reached++
		}
	}
	return !l.stranded && reached > failing
}

// DueProbes returns the addresses, at most n, to which direct connections should be tried now
// because this node is stranded; those that were tried least recently come first.
func (l *Ledger) DueProbes(n int) []string {
	if !l.Stranded() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var due []string
	for address, p := range l.paths {
		if p.isLost() && !within(p.probedAt, now, probeInterval) {
			due = append(due, address)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(l.paths[a].probedAt.Compare(l.paths[b].probedAt), cmp.Compare(a, b))
	})
	due = due[:min(len(due), n)]
	for _, address := range due {
		l.paths[address].probedAt = now
	}
	return due
}

// Failing reports whether the last direct connection to an address failed within the last
// second.
func (l *Ledger) Failing(address string) bool {
	if l.doubts.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.paths[address]
	return p != nil && within(p.failedAt, l.now(), recent)
}

// within reports whether t is at most d ago. The zero time isn't.
func within(t, now time.Time, d time.Duration) bool { return !t.IsZero() && now.Sub(t) <= d }

// path returns the state of the path to an address. The caller holds the lock.
func (l *Ledger) path(address string, now time.Time) *path {
	p := l.paths[address]
	if p != nil {
		return p
	}
	if len(l.paths) >= maxPaths {
		for a, p := range l.paths {
			if p.expire(now); *p == (path{}) {
				delete(l.paths, a)
			}
		}
	}
	p = &path{}
	l.paths[address] = p
	return p
}

// expire clears what is too old to count.
func (p *path) expire(now time.Time) {
	for _, t := range []*time.Time{&p.reachedAt, &p.failedAt, &p.silentAt, &p.deniedAt, &p.probedAt} {
		if !within(*t, now, memory) {
			*t = time.Time{}
		}
	}
	// While direct connections fail, there may be no request that would show again that a
	// detour works.
	if p.failedAt.IsZero() && !within(p.detouredAt, now, memory) {
		p.detouredAt = time.Time{}
	}
}

// update expires old entries and decides whether this node is stranded. The caller holds the
// lock.
func (l *Ledger) update(now time.Time) {
	doubts, lost, reached := 0, 0, 0
	for _, p := range l.paths {
		p.expire(now)
		if p.doubtful() {
			doubts++
		}
		switch {
		case p.isLost():
			lost++
		case p.failedAt.IsZero() && within(p.reachedAt, now, recent):
			reached++
		}
	}
	l.doubts.Store(int64(doubts))
	if stranded := lost >= minStranded && lost > reached; stranded != l.stranded {
		l.stranded = stranded
		n := int64(0)
		if stranded {
			n = 1
			_ = level.Warn(l.logger).Log("msg", "this node has lost its links to backend servers that other nodes reach; its requests go through these", "lost", lost, "reached", reached)
		} else {
			_ = level.Info(l.logger).Log("msg", "links to backend servers are back", "lost", lost, "reached", reached)
		}
		l.gauge.Update(n)
	}
}
