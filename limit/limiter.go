package limit

import (
	"cmp"
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// Defaults of Config.
const (
	// DefaultInterval is the time between updates of the shares.
	DefaultInterval = 500 * time.Millisecond
	// DefaultDemandLifetime is the age above which a peer's demand is ignored.
	DefaultDemandLifetime = 5 * time.Second
	// DefaultBurst is the time for which the rate may be saved up.
	DefaultBurst = 2 * time.Second
	// DefaultTargetWait is the estimated wait above which requests are shed. It
	// leaves most of the 1.7 s allowed to the first token for the lag of
	// load reports and for unequal queues.
	DefaultTargetWait = 500 * time.Millisecond
)

// minBurst is the smallest burst, in tokens. With it a small share still admits a
// request from time to time.
const minBurst = 1.0

// Config configures a Limiter. Zero fields take the defaults.
type Config struct {
	// Interval is the time between updates of the shares.
	Interval time.Duration
	// DemandLifetime is the age above which a peer's demand is ignored.
	DemandLifetime time.Duration
	// Burst is the capacity of a token bucket, as the time in which it is
	// refilled.
	Burst time.Duration
	// Policy divides limits among nodes; nil means ProportionalShare.
	Policy SharePolicy
	// Waits estimates the queueing time of model services; nil means that no
	// requests are shed.
	Waits WaitSource
	// TargetWait is the estimated wait above which requests are shed.
	TargetWait time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// withDefaults returns c with its zero fields set to the defaults.
func (c Config) withDefaults() Config {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.DemandLifetime = cmp.Or(c.DemandLifetime, DefaultDemandLifetime)
	c.Burst = cmp.Or(c.Burst, DefaultBurst)
	c.Policy = cmp.Or[SharePolicy](c.Policy, ProportionalShare{})
	c.TargetWait = cmp.Or(c.TargetWait, DefaultTargetWait)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// buckets maps organisations to their buckets. A published map must not be
// modified.
type buckets map[string]*bucket

// Limiter admits requests within the organisations' limits and sheds requests to
// overloaded services. Admit reads the buckets through an atomic pointer; Run
// replaces them.
type Limiter struct {
	board    *blackboard.Board
	config   Config
	now      func() time.Time
	buckets  atomic.Pointer[buckets]
	shedders atomic.Pointer[shedders]
	admitted metrics.Counter
	refused  metrics.Counter
	shed     metrics.Counter
}

// NewLimiter returns a Limiter that uses the configuration, members and demand on
// the blackboard.
func NewLimiter(board *blackboard.Board, config Config, registry metrics.Registry) *Limiter {
	config = config.withDefaults()
	l := &Limiter{
		board:    board,
		config:   config,
		now:      config.Now,
		admitted: metrics.GetOrRegisterCounter("limit.admitted", registry),
		refused:  metrics.GetOrRegisterCounter("limit.refused", registry),
		shed:     metrics.GetOrRegisterCounter("limit.shed", registry),
	}
	l.buckets.Store(&buckets{})
	l.shedders.Store(&shedders{})
	return l
}

// Run updates the shares until ctx ends and returns nil.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.config.Interval)
	defer ticker.Stop()
	for {
		changed := l.board.Configuration.Changed()
		l.Update()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-changed:
		}
	}
}

// Update recomputes the rate of every organisation's bucket and the fractions of
// requests to shed. Run calls it; calls must not be concurrent.
func (l *Limiter) Update() {
	configuration := l.board.Configuration.Load()
	if configuration == nil {
		return
	}
	now := l.now()
	next := maps.Clone(*l.buckets.Load())
	known := make(map[string]bool, len(configuration.Organisations))
	in := l.shareInput(now)
	for i := range configuration.Organisations {
		organisation := &configuration.Organisations[i]
		known[organisation.Name] = true
		l.updateOrganisation(next, organisation, in)
	}
	maps.DeleteFunc(next, func(name string, _ *bucket) bool { return !known[name] })
	l.buckets.Store(&next)
	l.updateShedders(configuration, now)
}

// updateOrganisation sets the rate of an organisation's bucket to this node's
// share of its limit.
func (l *Limiter) updateOrganisation(next buckets, organisation *fleet.Organisation, in ShareInput) {
	now := in.Now
	b := next[organisation.Name]
	in.Organisation = organisation.Name
	if b != nil {
		in.LocalDemand = b.sampleDemand(now)
	}
	rate := organisation.TokensPerSecond * l.config.Policy.Share(in)
	burst := max(rate*l.config.Burst.Seconds(), minBurst)
	if b == nil {
		next[organisation.Name] = newBucket(rate, burst, now)
		return
	}
	b.setRate(rate, burst, now)
}

// shareInput returns the input for a SharePolicy that is the same for all
// organisations.
func (l *Limiter) shareInput(now time.Time) ShareInput {
	in := ShareInput{
		Members:        1,
		Demand:         l.board.Demand.Load(),
		Now:            now,
		DemandLifetime: l.config.DemandLifetime,
	}
	if members := l.board.Members.Load(); members != nil {
		in.Self = members.Self
		in.Members = max(len(members.Serving()), 1)
	}
	in.sums = sumDemand(in.Demand, in.Self, in.Now, in.DemandLifetime)
	return in
}

// LocalDemand returns the smoothed demand of the organisations on this node.
func (l *Limiter) LocalDemand() blackboard.NodeDemand {
	demand := blackboard.NodeDemand{ReceivedAt: l.now(), TokensPerSecond: make(map[string]float64)}
	for name, b := range *l.buckets.Load() {
		b.mu.Lock()
		if b.demand > 0 {
			demand.TokensPerSecond[name] = b.demand
		}
		b.mu.Unlock()
	}
	return demand
}

// Admission is an admitted request.
type Admission struct {
	// bucket is nil if the organisation had none yet.
	bucket *bucket
	// taken is the number of tokens taken from the bucket.
	taken int
}

// Admit takes tokens from the organisation's share, and sheds the request if its
// service is overloaded. The error of a refused request is a *verdict.Error with
// the verdict NotRun and the time after which to retry. A request of an
// organisation that Update has not processed yet is admitted, because the
// configuration was accepted less than one interval ago.
func (l *Limiter) Admit(ctx context.Context, organisation, service string, tokens, priority int) (*Admission, error) {
	b := (*l.buckets.Load())[organisation]
	if b == nil {
		return &Admission{}, nil
	}
	now := l.now()
	wait, ok := b.take(float64(tokens), now)
	if !ok {
		l.refused.Inc(1)
		return nil, verdict.New(verdict.NotRun, verdict.ReasonLimitExceeded,
			"organisation %s is over its limit of tokens per second", organisation).WithRetryAfter(wait)
	}
	if s := (*l.shedders.Load())[service]; s != nil {
		if err := s.admit(ctx, organisation, float64(tokens), priority, now); err != nil {
			b.refund(float64(tokens))
			l.shed.Inc(1)
			return nil, err
		}
	}
	l.admitted.Inc(1)
	return &Admission{bucket: b, taken: tokens}, nil
}

// Done refunds the tokens that were taken but not used. It must be called only
// once.
func (a *Admission) Done(used int) {
	if a.bucket != nil {
		a.bucket.refund(float64(a.taken - used))
	}
}
