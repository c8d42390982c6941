package quarantine

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
)

// Times and limits of a Ledger.
const (
	// DefaultDuration is how long a quarantine lasts if Config sets no duration.
	DefaultDuration = 5 * time.Minute
	// firstRequestDuration is how long the first quarantine of a request lasts at most. A
	// sound request that was at several crashed engines by chance is refused no longer.
	firstRequestDuration = time.Minute
	// renewalGap is the time between two decisions about a subject from which the later one
	// is a renewal, and not the same decision by another node.
	renewalGap = 10 * time.Second
	// expiryFraction is the fraction of the time left by which a node ends the quarantine of a
	// request earlier, at random: so the nodes end it one after the other, and the first
	// copies show whether it still crashes engines.
	expiryFraction = 4
	// evidenceTime is how long a strike counts against a part. One against a request counts
	// for longer: no other request clears it, and its caller may send it rarely.
	evidenceTime        = 2 * time.Minute
	requestEvidenceTime = 10 * time.Minute
	// reportTime is how long an observation is reported. A node sends several reports in
	// this time, so that lost datagrams don't matter.
	reportTime = 3 * time.Second
	// clearanceInterval is the shortest time between two clearances of a part by a node.
	clearanceInterval = 500 * time.Millisecond
	// maxRecords is the number of subjects with evidence. A crashed engine ran many requests,
	// but these share few parts.
	maxRecords        = 256
	maxRequestRecords = 2048
	// maxRecordStrikes is the number of strikes kept for a part.
	maxRecordStrikes = 32
	// maxPromptParts is the number of parts of one prompt that are struck by a crash.
	maxPromptParts = 6
	// maxRequestsInEffect is the number of requests in quarantine at a time. A report names
	// some of them in turn.
	maxRequestsInEffect = 256
	// maxExpired is the number of expired quarantines kept.
	maxExpired = 64
)

// Config configures a Ledger.
type Config struct {
	// Kind is what the ledger blames for crashes.
	Kind Kind
	// Duration is how long a quarantine lasts.
	Duration time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Quarantine is a quarantine that applies to requests.
type Quarantine struct {
	Notice
	Kind      Kind
	Until     time.Time
	decidedAt time.Time
}

// Evidence describes the quarantine for logs and error messages.
func (q *Quarantine) Evidence() string {
	if q.Kind == Requests {
		return fmt.Sprintf("%d engines crashed while they ran it", q.Crashes)
	}
	return fmt.Sprintf("%d engines crashed under %d prompts with the parts %v", q.Crashes, q.Prompts, q.Parts)
}

// Ledger holds the evidence and the quarantines that a node knows. It is safe for
// concurrent use.
type Ledger struct {
	cfg      Config
	logger   log.Logger
	strikes  metrics.Counter
	decided  metrics.Counter
	adopted  metrics.Counter
	lifted   metrics.Counter
	trials   metrics.Counter
	inEffect blackboard.Section[[]*Quarantine]
	// onChange is called when the quarantines in effect change; nil if nobody waits.
	onChange func()
	// onObserve is called when this node has observed something to be reported; nil if nobody
	// waits.
	onObserve func()
	now       func() time.Time

	mu      sync.Mutex
	records map[Part]*record
	notices map[string]*notice
	sound   recentParts
	// ownStrikes and ownClearances are the observations of this node to be reported.
	ownStrikes    []ownStrike
	ownClearances map[Part]ownClearance
}

// notice is a quarantine that is in effect, or that expired or was lifted.
type notice struct {
	Notice
	decidedAt, until time.Time
	// spent is true once the quarantine has expired and its strikes don't count any more.
	spent bool
	// liftedAt is when a sound response contained one of the parts afterwards; zero if
	// none did.
	liftedAt time.Time
	// trials is the number of trials of this node, and triedAt is when the last one began.
	trials  int
	triedAt time.Time
}

type ownStrike struct {
	Strike
	at time.Time
}

// ownClearance is when a part was sound and since when that is reported.
type ownClearance struct{ at, reportedSince time.Time }

// NewLedger returns an empty ledger.
func NewLedger(cfg Config, logger log.Logger, registry metrics.Registry) *Ledger {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter(cfg.Kind.metricPrefix()+name, registry)
	}
	cfg.Duration = cmp.Or(cfg.Duration, DefaultDuration)
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Ledger{cfg: cfg, logger: log.With(logger, "component", "quarantine", "kind", cfg.Kind), now: cfg.Now,
		strikes: counter("strikes"), decided: counter("decided"), adopted: counter("adopted"), lifted: counter("lifted"), trials: counter("trials"),
		records: map[Part]*record{}, notices: map[string]*notice{}, ownClearances: map[Part]ownClearance{}}
}

// Match returns the quarantine that applies to a request, or nil. ids are the IDs of the
// parts of its prompt in order, or the ID of the request.
func (l *Ledger) Match(ids []string) *Quarantine {
	current := l.inEffect.Load()
	if current == nil || len(*current) == 0 {
		return nil
	}
	parts := partsOf(l.cfg.Kind.subjects(ids))
	now := l.now()
	for _, q := range *current {
		if now.Before(q.Until) && !slices.ContainsFunc(q.Parts, func(p Part) bool { return !slices.Contains(parts, p) }) {
			return q
		}
	}
	return nil
}

// Crashed records that an engine crashed while it ran a request.
func (l *Ledger) Crashed(instance string, startedMs int64, r Request, at time.Time) {
	ids := l.cfg.Kind.subjects(r.ids(l.cfg.Kind))
	if len(ids) == 0 {
		return
	}
	parts := partsOf(ids)
	engine, key := engineKey(instance, startedMs), requestKey(r.ID)
	l.strikes.Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range l.mostSuspicious(parts) {
		_ = level.Info(l.logger).Log("msg", "engine crashed under a request", "instance", instance,
			"part", parts[i], "id", ids[i], "position", i)
		s := Strike{Engine: engine, Prompt: key, Part: parts[i], Depth: uint8(min(l.cfg.Kind.depth(i, r), math.MaxUint8))}
		l.addStrike(s, at, true)
		l.ownStrikes = append(l.ownStrikes, ownStrike{s, at})
	}
	l.decide()
	l.observed()
}

// mostSuspicious returns the indices of the parts to strike: those that never appeared in
// a sound response first, then those at the end of the prompt.
func (l *Ledger) mostSuspicious(parts []Part) []int {
	indices := make([]int, len(parts))
	for i := range indices {
		indices[i] = i
	}
	slices.SortFunc(indices, func(a, b int) int {
		return cmp.Or(l.sound.at(parts[a]).Compare(l.sound.at(parts[b])), cmp.Compare(b, a))
	})
	return indices[:min(len(indices), maxPromptParts)]
}

// Sound records that an engine was sound while it ran a request. ids are as for Match.
func (l *Ledger) Sound(ids []string) {
	parts := partsOf(l.cfg.Kind.subjects(ids))
	if len(parts) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	changed := false
	for _, p := range parts {
		l.sound.add(p, now)
		if l.isKnown(p) && (l.isInEffect(p, now) || l.isStruckRequest(p) || now.Sub(l.ownClearances[p].at) >= clearanceInterval) {
			l.ownClearances[p] = ownClearance{now, now}
			l.clear(p, now)
			changed = true
		}
	}
	if changed {
		l.decide()
		l.observed()
	}
}

// Failed records that an engine answered a request with a server error. ids are as for Match.
func (l *Ledger) Failed(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, p := range partsOf(l.cfg.Kind.subjects(ids)) {
		r := l.records[p]
		if r == nil {
			continue
		}
		r.errors++
		if reported := p.errors(); now.Sub(l.ownClearances[reported].at) >= clearanceInterval {
			l.ownClearances[reported] = ownClearance{now, now}
			l.observed()
		}
	}
}

func (l *Ledger) observed() {
	if l.onObserve != nil {
		l.onObserve()
	}
}

// isKnown reports whether there is evidence against a part or a quarantine of it.
func (l *Ledger) isKnown(p Part) bool {
	if l.records[p] != nil {
		return true
	}
	for _, n := range l.notices {
		if n.liftedAt.IsZero() && slices.Contains(n.Parts, p) {
			return true
		}
	}
	return false
}

// isStruckRequest reports whether there are strikes against a request. Each of its responses
// counts, as there may be few; the parts of prompts are in those of many requests.
func (l *Ledger) isStruckRequest(p Part) bool {
	r := l.records[p]
	return l.cfg.Kind == Requests && r != nil && len(r.strikes) > 0
}

// isInEffect reports whether a part is in a quarantine in effect.
func (l *Ledger) isInEffect(p Part, now time.Time) bool {
	for _, n := range l.notices {
		if n.inEffect(now) && slices.Contains(n.Parts, p) {
			return true
		}
	}
	return false
}

// Absorb records what other nodes have reported.
func (l *Ledger) Absorb(r *Observations) {
	if r.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	ago := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, s := range r.Strikes {
		l.addStrike(s, ago(uint32(s.AgeMs)), false)
	}
	for _, c := range r.Clearances {
		l.clear(c.Part, ago(c.AgeMs))
	}
	for _, n := range r.Notices {
		l.adopt(n, now)
	}
	l.decide()
}

// Report returns what this node has to tell other nodes: its recent observations, and all
// quarantines that it knows, from which a restarted node learns them. It is nil if there
// is nothing to tell.
func (l *Ledger) Report() *Observations {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decide()
	now := l.now()
	r := &Observations{}
	for _, s := range l.ownStrikes {
		s.AgeMs = uint16(now.Sub(s.at).Milliseconds())
		r.Strikes = append(r.Strikes, s.Strike)
	}
	for p, c := range l.ownClearances {
		r.Clearances = append(r.Clearances, Clearance{p, uint32(now.Sub(c.at).Milliseconds())})
	}
	for _, q := range l.Current() {
		n := q.Notice
		n.AgeMs = uint32(now.Sub(q.decidedAt).Milliseconds())
		n.RemainingMs = uint32(max(q.Until.Sub(now).Milliseconds(), 0))
		r.Notices = append(r.Notices, n)
	}
	if r.Empty() {
		return nil
	}
	rand.Shuffle(len(r.Notices), func(i, j int) { r.Notices[i], r.Notices[j] = r.Notices[j], r.Notices[i] })
	r.Notices = r.Notices[:min(len(r.Notices), l.cfg.Kind.maxNotices())]
	r.limit(l.cfg.Kind.maxNotices())
	return r
}

// Current returns the quarantines in effect.
func (l *Ledger) Current() []*Quarantine {
	if current := l.inEffect.Load(); current != nil {
		return *current
	}
	return nil
}
