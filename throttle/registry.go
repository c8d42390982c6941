package throttle

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
)

const (
	// minRate is the lowest rate in requests per second that all nodes together send to a
	// server, however low the rate that it accepts: a server without requests can't state
	// that it has recovered.
	minRate = 0.5
	// maxServers is the number of servers about which statements are kept.
	maxServers = 2048
	// keepUnlisted is how long statements about a server are kept that isn't in the
	// instance list.
	keepUnlisted = 30 * time.Second
	// keepLifted is how long it is reported that a limit was lifted.
	keepLifted = 10 * time.Second
	// reportInterval is the time between two reports of an unchanged statement.
	reportInterval = time.Second
	// changeReportTime is how long a changed statement is in each report.
	changeReportTime = time.Second
	// minNewer is the difference of age from which a notice is newer than what is known.
	// The same statement arrives on several ways with slightly different ages.
	minNewer = 20 * time.Millisecond
	// logRatio is the change of a rate that is logged, as a ratio.
	logRatio = 1.5
)

// Config configures a Registry.
type Config struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Random returns a random number below 1; nil means rand.Float64.
	Random func() float64
	// ColdOverage and ColdAllowance give the largest number of requests that a cold server may
	// get in a second: its rate times ColdOverage, and ColdAllowance.
	ColdOverage   float64
	ColdAllowance float64
}

// Registry holds the statements that a node knows. It is safe for concurrent use.
type Registry struct {
	logger   log.Logger
	limited  metrics.Gauge
	lifted   metrics.Counter
	received metrics.Counter
	held     metrics.Counter
	now      func() time.Time
	random   func() float64
	// count is the number of servers. It keeps the request path free of the lock while
	// no server has stated anything.
	count atomic.Int64
	// coldCount is the number of cold servers, for the same reason.
	coldCount     atomic.Int64
	coldServers   metrics.Gauge
	coldOverage   float64
	coldAllowance float64
	startedAt     time.Time

	mu      sync.Mutex
	servers map[Server]*server
	cold    map[Server]*coldServer
	nodes   nodeCount
	// changed is closed and replaced when a server states that it is leaving.
	changed chan struct{}
	// ids are the IDs of the servers in the instance list.
	ids map[Server]string
}

// server is the state of a server that has stated something.
type server struct {
	key     Server
	limited bool
	// rate is the last rate that the server stated.
	rate float64
	// at orders statements: when the response with a limit arrived, or when the request
	// was sent whose response had none.
	at time.Time
	// sentAt is when the request was sent whose response stated the rate.
	sentAt time.Time
	// liftedAt is when the limit ended; zero before.
	liftedAt time.Time
	// loggedRate is the rate that applied at the last log line; 0 before.
	loggedRate float64
	changedAt  time.Time
	reportedAt time.Time
	// leaving is true once the server has stated that it is shutting down.
	leaving bool
	// heldUntil is when the server takes requests of this node again; zero if it does.
	heldUntil time.Time
	// listedAt is when the server was last in the instance list, or when it was added.
	listedAt time.Time
	bucket
}

// NewRegistry returns an empty registry.
func NewRegistry(cfg Config, logger log.Logger, registry metrics.Registry) *Registry {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Registry{logger: log.With(logger, "component", "throttle"), now: cfg.Now, random: cfg.Random,
		limited:  metrics.GetOrRegisterGauge("throttle.limited", registry),
		lifted:   metrics.GetOrRegisterCounter("throttle.lifted", registry),
		received: metrics.GetOrRegisterCounter("throttle.received", registry),
		held:     metrics.GetOrRegisterCounter("throttle.held", registry),
		servers:  map[Server]*server{}, changed: make(chan struct{}),
		coldServers: metrics.GetOrRegisterGauge("throttle.cold", registry), coldOverage: cfg.ColdOverage, coldAllowance: cfg.ColdAllowance,
		startedAt: cfg.Now(), cold: map[Server]*coldServer{}}
}

// Empty reports whether no server has stated anything.
func (r *Registry) Empty() bool { return r.count.Load() == 0 }

// Observe records what a response states about its server. sentAt is when its request was
// sent.
func (r *Registry) Observe(key Server, s Statement, sentAt time.Time) {
	if s == (Statement{}) && r.count.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	known := r.servers[key]
	if known == nil && (s.Limited || s.Leaving || s.RetryAfter > 0) {
		if known = r.add(key, now); known == nil {
			return
		}
	}
	if s.Leaving {
		r.leave(known, now, "response")
	}
	if until := now.Add(min(s.RetryAfter, MaxRetryAfter)); s.RetryAfter > 0 && until.After(known.heldUntil) {
		known.heldUntil = until
		r.held.Inc(1)
		_ = level.Info(r.logger).Log("msg", "backend server wants no requests from this node", "instance", r.ids[key], "for_ms", until.Sub(now).Milliseconds())
	}
	switch {
	case s.Limited:
		rate := s.Rate
		if known.limited && sentAt.Before(known.sentAt) {
			// Which of the two responses is newer is unknown.
			rate = min(rate, known.rate)
		} else {
			known.sentAt = sentAt
		}
		r.limit(known, rate, now, now, "response")
	case known != nil && known.limited && !s.Incomplete && sentAt.After(known.at):
		r.lift(known, sentAt, now)
	}
}

// Absorb records what other nodes have reported.
func (r *Registry) Absorb(notices []Notice) {
	if len(notices) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for i := range notices {
		n := &notices[i]
		known := r.servers[n.Server]
		if known == nil && n.Leaving && n.valid() {
			known = r.add(n.Server, now)
		}
		if known != nil && n.Leaving {
			r.leave(known, now, "another node")
		}
		at := n.at(now)
		switch {
		case !n.valid() || (known != nil && at.Sub(known.at) < minNewer) || (known == nil && !n.Limited):
			continue
		case !n.Limited:
			if known.limited {
				r.lift(known, at, now)
			}
			continue
		case known == nil:
			if known = r.add(n.Server, now); known == nil {
				continue
			}
		}
		r.received.Inc(1)
		known.sentAt = at
		r.limit(known, n.rate(), at, now, "another node")
	}
}

// add adds a server, or returns nil if there are too many. The caller holds the lock.
func (r *Registry) add(key Server, now time.Time) *server {
	if len(r.servers) >= maxServers {
		_ = level.Warn(r.logger).Log("msg", "statement of a backend server ignored: too many servers have made one", "servers", len(r.servers))
		return nil
	}
	s := &server{key: key, listedAt: now}
	r.servers[key] = s
	r.count.Store(int64(len(r.servers)))
	return s
}

// leave records that a server is shutting down. The caller holds the lock.
func (r *Registry) leave(s *server, now time.Time, source string) {
	if s.leaving {
		return
	}
	s.leaving, s.changedAt = true, now
	close(r.changed)
	r.changed = make(chan struct{})
	_ = level.Info(r.logger).Log("msg", "backend server states that it is leaving", "instance", r.ids[s.key], "source", source)
}

// Leaving reports whether a server has stated that it is shutting down.
func (r *Registry) Leaving(key Server) bool {
	if r.count.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[key]
	return s != nil && s.leaving
}

// Pause returns for how long a server wants no requests of this node, 0 if it takes them. One
// that is shutting down wants none for MaxRetryAfter.
func (r *Registry) Pause(key Server) time.Duration {
	if r.count.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch s := r.servers[key]; {
	case s == nil:
		return 0
	case s.leaving:
		return MaxRetryAfter
	default:
		return max(s.heldUntil.Sub(r.now()), 0)
	}
}

// Changed returns a channel that is closed when a server states that it is leaving.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// limit sets the rate of a server. The caller holds the lock.
func (r *Registry) limit(s *server, rate float64, at, now time.Time, source string) {
	if !s.limited {
		s.limited, s.liftedAt, s.loggedRate, s.changedAt = true, time.Time{}, 0, now
		// A random level keeps nodes that learn the limit together from sending together.
		s.bucket = bucket{level: r.random(), refilledAt: now}
		r.countLimited()
	}
	s.rate, s.at = rate, at
	// Rates below minRate have the same effect.
	if ratio := max(rate, minRate) / s.loggedRate; ratio >= logRatio || ratio <= 1/logRatio {
		s.loggedRate, s.changedAt = max(rate, minRate), now
		_ = level.Info(r.logger).Log("msg", "backend server limits its request rate", "instance", r.ids[s.key], "per_second", rate, "source", source)
	}
}

// lift ends the limit of a server. The caller holds the lock.
func (r *Registry) lift(s *server, at, now time.Time) {
	s.limited, s.at, s.liftedAt, s.changedAt = false, at, now, now
	r.lifted.Inc(1)
	r.countLimited()
	_ = level.Info(r.logger).Log("msg", "backend server no longer limits its request rate", "instance", r.ids[s.key], "previous_per_second", s.rate)
}

// isPast reports whether nothing that the server stated applies any more.
func (s *server) isPast(now time.Time) bool {
	return !s.limited && !s.leaving && now.Sub(s.liftedAt) > keepLifted && !now.Before(s.heldUntil)
}

func (r *Registry) countLimited() {
	n := int64(0)
	for _, s := range r.servers {
		if s.limited {
			n++
		}
	}
	r.limited.Update(n)
}

// Report returns the notices to send to other nodes now: those that changed recently, and
// each other one once in reportInterval, so that a restarted node learns them.
func (r *Registry) Report() []Notice {
	if r.count.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var list []*server
	for _, s := range r.servers {
		current := s.limited || s.leaving || now.Sub(s.liftedAt) <= keepLifted
		if current && (now.Sub(s.changedAt) <= changeReportTime || now.Sub(s.reportedAt) >= reportInterval) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *server) int {
		return cmp.Or(a.reportedAt.Compare(b.reportedAt), cmp.Compare(a.key, b.key))
	})
	var notices []Notice
	for _, s := range list[:min(len(list), MaxNotices)] {
		s.reportedAt = now
		notices = append(notices, Notice{Server: s.key, Limited: s.limited, Rate: float32(s.rate), Leaving: s.leaving,
			AgeMs: uint32(min(now.Sub(s.at).Milliseconds(), math.MaxUint32))})
	}
	return notices
}

// SetListed replaces the servers in the instance list, by ID. Statements about others are
// kept for some time.
func (r *Registry) SetListed(ids map[Server]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.ids = ids
	for key, s := range r.servers {
		if _, listed := ids[key]; listed {
			s.listedAt = now
		}
		if now.Sub(s.listedAt) > keepUnlisted || s.isPast(now) {
			delete(r.servers, key)
		}
	}
	r.count.Store(int64(len(r.servers)))
	r.countLimited()
}
