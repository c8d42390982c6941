package health

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
)

// Defaults of TableConfig.
const (
	// DefaultTimeToLive is the age at which evidence stops counting. Together
	// with the time to send it keeps the 3 s bound of the whole-group guarantee.
	DefaultTimeToLive = 2500 * time.Millisecond
	// DefaultPublishInterval bounds how often new evidence is published.
	DefaultPublishInterval = 20 * time.Millisecond
	// DefaultRenewInterval bounds how often renewed evidence is published. Each
	// publication copies the table and has the routing table rebuilt, which at
	// 600 instances and 50 times a second takes several percent of a core.
	DefaultRenewInterval = 100 * time.Millisecond
)

// TableConfig configures a Table. Zero fields take the defaults.
type TableConfig struct {
	// TimeToLive is the age at which evidence is removed.
	TimeToLive time.Duration
	// PublishInterval is the least time between two publications of positive
	// evidence. Losses are published at once.
	PublishInterval time.Duration
	// RenewInterval is the time for which evidence waits that only makes known,
	// fresh evidence younger or changes a load.
	RenewInterval time.Duration
}

// withDefaults returns c with its zero fields set.
func (c TableConfig) withDefaults() TableConfig {
	c.TimeToLive = cmp.Or(c.TimeToLive, DefaultTimeToLive)
	c.PublishInterval = cmp.Or(c.PublishInterval, DefaultPublishInterval)
	c.RenewInterval = cmp.Or(c.RenewInterval, DefaultRenewInterval)
	return c
}

// Table holds the newest evidence of each instance and publishes it. It is safe
// for concurrent use.
type Table struct {
	cfg     TableConfig
	section *blackboard.Section[blackboard.Evidence]
	// wake holds a token while new evidence waits, renewed while other evidence
	// does.
	wake, renewed chan struct{}

	mu      sync.Mutex
	entries map[string]blackboard.Observation
	// lost holds the newest failed probe of each instance, so that older
	// evidence that arrives late does not revive the instance.
	lost map[string]time.Time
}

// NewTable returns an empty table that publishes into section.
func NewTable(cfg TableConfig, section *blackboard.Section[blackboard.Evidence]) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		cfg:     cfg,
		section: section,
		wake:    make(chan struct{}, 1),
		renewed: make(chan struct{}, 1),
		entries: make(map[string]blackboard.Observation),
		lost:    make(map[string]time.Time),
	}
}

// Observe records evidence. It ignores evidence that is expired, older than
// what is known, or not newer than the newest failed probe of the instance.
func (t *Table) Observe(o blackboard.Observation) {
	now := time.Now()
	if o.ObservedAt.After(now) {
		o.ObservedAt = now
	}
	if now.Sub(o.ObservedAt) >= t.cfg.TimeToLive {
		return
	}
	id := o.Report.Instance
	t.mu.Lock()
	defer t.mu.Unlock()
	if at, ok := t.lost[id]; ok && !o.ObservedAt.After(at) {
		return
	}
	known, ok := t.entries[id]
	if ok && !o.ObservedAt.After(known.ObservedAt) {
		return
	}
	t.entries[id] = o
	waiting := t.wake
	if ok && sameRole(&known.Report, &o.Report) && now.Sub(known.ObservedAt) < t.cfg.TimeToLive/2 {
		waiting = t.renewed
	}
	select {
	case waiting <- struct{}{}:
	default:
	}
}

// sameRole tells whether two reports differ in loads at most.
func sameRole(a, b *fleet.Report) bool {
	return a.Boot == b.Boot && a.Group == b.Group && a.Generation == b.Generation && a.Rank == b.Rank &&
		a.Size == b.Size && a.Service == b.Service && a.Version == b.Version && a.State == b.State &&
		slices.Equal(a.LoadedVersions, b.LoadedVersions)
}

// Lose records a failed probe and removes evidence that is not newer than it.
// The removal is published before Lose returns.
func (t *Table) Lose(loss blackboard.Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at, ok := t.lost[loss.Instance]; !ok || loss.At.After(at) {
		t.lost[loss.Instance] = loss.At
	}
	known, ok := t.entries[loss.Instance]
	if !ok || known.ObservedAt.After(loss.At) {
		return
	}
	delete(t.entries, loss.Instance)
	t.publishLocked()
}

// Observations returns all evidence that is at most maxAge old, in no order.
func (t *Table) Observations(maxAge time.Duration) []blackboard.Observation {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	found := make([]blackboard.Observation, 0, len(t.entries))
	for _, o := range t.entries {
		if now.Sub(o.ObservedAt) <= maxAge {
			found = append(found, o)
		}
	}
	return found
}

// Get returns the newest evidence about an instance.
func (t *Table) Get(instance string) (blackboard.Observation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.entries[instance]
	return o, ok
}

// Run publishes batched evidence and removes expired entries until ctx ends. It
// returns nil.
func (t *Table) Run(ctx context.Context) error {
	// Readers compare ages themselves; expiry here only bounds the memory and
	// keeps the published map tidy, so a coarse period is enough.
	expiry := time.NewTicker(t.cfg.TimeToLive / 5)
	defer expiry.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expiry.C:
			t.removeExpired()
			continue
		case <-t.wake:
		case <-t.renewed:
			t.awaitMore(ctx)
		}
		t.publish()
		pause.Reset(t.cfg.PublishInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-pause.C:
		}
	}
}

// awaitMore waits for RenewInterval, or until new evidence arrives.
func (t *Table) awaitMore(ctx context.Context) {
	timer := time.NewTimer(t.cfg.RenewInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.wake:
	}
}

func (t *Table) publish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publishLocked()
}

// publishLocked publishes a copy of the entries. The lock is held so that two
// publications cannot overtake each other.
func (t *Table) publishLocked() {
	copied := make(map[string]blackboard.Observation, len(t.entries))
	for id, o := range t.entries {
		copied[id] = o
	}
	t.section.Publish(&blackboard.Evidence{ByInstance: copied})
}

// removeExpired drops entries and failed probes beyond the time-to-live. A
// failed probe is kept that long because evidence older than it is then
// refused for its age.
func (t *Table) removeExpired() {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	removed := false
	for id, o := range t.entries {
		if now.Sub(o.ObservedAt) >= t.cfg.TimeToLive {
			delete(t.entries, id)
			removed = true
		}
	}
	for id, at := range t.lost {
		if now.Sub(at) >= t.cfg.TimeToLive {
			delete(t.lost, id)
		}
	}
	if removed {
		t.publishLocked()
	}
}
