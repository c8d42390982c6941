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
	// DefaultTimeToLive is the age at which evidence expires. Together with the
	// time to send a request it keeps the 3 s limit of the guarantee that only
	// complete groups get work.
	DefaultTimeToLive = 2500 * time.Millisecond
	// DefaultPublishInterval is the shortest time between two publications of
	// new evidence.
	DefaultPublishInterval = 20 * time.Millisecond
	// DefaultRenewInterval is the time for which the publication of renewed
	// evidence is delayed. Each publication copies the table and causes a rebuild
	// of the routing table, which at 600 instances and 50 times a second takes
	// several percent of a core.
	DefaultRenewInterval = 100 * time.Millisecond
)

// TableConfig configures a Table. Zero fields take the defaults.
type TableConfig struct {
	// TimeToLive is the age at which evidence is removed.
	TimeToLive time.Duration
	// PublishInterval is the shortest time between two publications of
	// evidence. Losses are published at once.
	PublishInterval time.Duration
	// RenewInterval is the time for which the publication of renewed evidence is
	// delayed. Evidence is renewed if the previous evidence has not reached half
	// its time-to-live and differs only in time and loads.
	RenewInterval time.Duration
}

// withDefaults returns c with its zero fields set to the defaults.
func (c TableConfig) withDefaults() TableConfig {
	c.TimeToLive = cmp.Or(c.TimeToLive, DefaultTimeToLive)
	c.PublishInterval = cmp.Or(c.PublishInterval, DefaultPublishInterval)
	c.RenewInterval = cmp.Or(c.RenewInterval, DefaultRenewInterval)
	return c
}

// Table holds the newest evidence of each instance and publishes it on the
// blackboard. It is safe for concurrent use.
type Table struct {
	cfg     TableConfig
	section *blackboard.Section[blackboard.Evidence]
	// newEvidence holds a token while new evidence is to be published.
	newEvidence chan struct{}
	// renewedEvidence holds a token while renewed evidence is to be published.
	renewedEvidence chan struct{}

	mu      sync.Mutex
	entries map[string]blackboard.Observation
	// failedAt holds the time of each instance's newest failed probe, so that
	// evidence that is older but arrives later is ignored.
	failedAt map[string]time.Time
}

// NewTable returns an empty table that publishes to section.
func NewTable(cfg TableConfig, section *blackboard.Section[blackboard.Evidence]) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		cfg:             cfg,
		section:         section,
		newEvidence:     make(chan struct{}, 1),
		renewedEvidence: make(chan struct{}, 1),
		entries:         make(map[string]blackboard.Observation),
		failedAt:        make(map[string]time.Time),
	}
}

// Observe records evidence. It ignores evidence that has expired, is not newer
// than the current evidence, or is not newer than the newest failed probe of the
// instance. A time in the future is set to now.
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
	if at, ok := t.failedAt[id]; ok && !o.ObservedAt.After(at) {
		return
	}
	current, ok := t.entries[id]
	if ok && !o.ObservedAt.After(current.ObservedAt) {
		return
	}
	t.entries[id] = o
	signal := t.newEvidence
	if ok && sameRole(&current.Report, &o.Report) && now.Sub(current.ObservedAt) < t.cfg.TimeToLive/2 {
		signal = t.renewedEvidence
	}
	select {
	case signal <- struct{}{}:
	default:
	}
}

// sameRole reports whether two reports are equal except for their loads.
func sameRole(a, b *fleet.Report) bool {
	return a.Boot == b.Boot && a.Group == b.Group && a.Generation == b.Generation && a.Rank == b.Rank &&
		a.Size == b.Size && a.Service == b.Service && a.Version == b.Version && a.State == b.State &&
		slices.Equal(a.LoadedVersions, b.LoadedVersions)
}

// RecordLoss records a failed probe and removes evidence that is not newer. The
// removal is published before RecordLoss returns.
func (t *Table) RecordLoss(loss blackboard.Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at, ok := t.failedAt[loss.Instance]; !ok || loss.At.After(at) {
		t.failedAt[loss.Instance] = loss.At
	}
	current, ok := t.entries[loss.Instance]
	if !ok || current.ObservedAt.After(loss.At) {
		return
	}
	delete(t.entries, loss.Instance)
	t.publishLocked()
}

// Observations returns all evidence that is not older than maxAge, in no
// particular order.
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

// Get returns the newest evidence of an instance, and whether there is any. It may
// have expired.
func (t *Table) Get(instance string) (blackboard.Observation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.entries[instance]
	return o, ok
}

// Run publishes new evidence in batches and removes expired evidence until ctx
// ends. It returns nil.
func (t *Table) Run(ctx context.Context) error {
	// Readers compare ages themselves. Expired entries are removed only to limit
	// the size of the table, so a long period is enough.
	expiry := time.NewTicker(t.cfg.TimeToLive / 5)
	defer expiry.Stop()
	publishTimer := time.NewTimer(0)
	defer publishTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expiry.C:
			t.removeExpired()
			continue
		case <-t.newEvidence:
		case <-t.renewedEvidence:
			t.awaitRenewInterval(ctx)
		}
		t.publish()
		publishTimer.Reset(t.cfg.PublishInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-publishTimer.C:
		}
	}
}

// awaitRenewInterval waits until RenewInterval is over, new evidence arrives or
// ctx ends.
func (t *Table) awaitRenewInterval(ctx context.Context) {
	timer := time.NewTimer(t.cfg.RenewInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.newEvidence:
	}
}

func (t *Table) publish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publishLocked()
}

// publishLocked publishes a copy of the entries. The caller must hold mu, so that
// an older copy cannot replace a newer one.
func (t *Table) publishLocked() {
	copied := make(map[string]blackboard.Observation, len(t.entries))
	for id, o := range t.entries {
		copied[id] = o
	}
	t.section.Publish(&blackboard.Evidence{ByInstance: copied})
}

// removeExpired deletes entries and failed probes older than the time-to-live.
// After that time a failed probe is no longer needed, because all evidence older
// than it has expired.
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
	for id, at := range t.failedAt {
		if now.Sub(at) >= t.cfg.TimeToLive {
			delete(t.failedAt, id)
		}
	}
	if removed {
		t.publishLocked()
	}
}
