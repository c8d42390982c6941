package release

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// ConfigurationKey is the key of the object that stores the configuration.
var ConfigurationKey = object.Key{Kind: "config", Name: "current"}

// Defaults of Config.
const (
	// DefaultMaxAttempts is the maximum number of attempts to read, merge and update.
	DefaultMaxAttempts = 8
	// DefaultTimeout is the timeout of an Apply or Preview call.
	DefaultTimeout = 10 * time.Second
	// DefaultUpdateTimeout is the timeout of an update, including its preparation.
	DefaultUpdateTimeout = 2 * time.Second
	// DefaultBackoff is the base of the exponential backoff.
	DefaultBackoff = 20 * time.Millisecond
)

// Store is the subset of object.Store that an Applier uses.
type Store interface {
	Get(ctx context.Context, key object.Key) (object.Object, error)
	Update(ctx context.Context, key object.Key, expected object.Version, value []byte) (object.Version, error)
}

// Gate decides whether this node may accept release notes.
type Gate interface {
	// MayAccept returns nil if the node has contact with a majority of the members and
	// the platform has not returned an older revision than the node has.
	MayAccept() error
	// Prepare announces to a majority of the members that revision is about to be
	// written. An error means that too few members acknowledged it; the revision is then
	// not written.
	Prepare(ctx context.Context, revision fleet.Revision) error
}

// Publisher receives accepted configurations immediately.
type Publisher interface {
	// Publish publishes a version of the document name.
	Publish(name string, version uint64, body []byte)
}

// Config configures an Applier. Store and Gate are required.
type Config struct {
	Store     Store
	Gate      Gate
	Publisher Publisher
	// KnownRevision returns the newest revision that this node has received; nil means
	// 0. A platform that returns an older revision was restored from a backup, and notes
	// are refused.
	KnownRevision func() fleet.Revision
	// MaxAttempts limits the attempts to read, merge and update; 8 by default.
	MaxAttempts int
	// Timeout limits one Apply or Preview; 10 s by default. An Apply continues if the
	// caller's connection ends.
	Timeout time.Duration
	// UpdateTimeout limits the preparation and the update together, so that a process
	// that was paused in between does not write on the basis of an outdated decision of
	// the gate; 2 s by default.
	UpdateTimeout time.Duration
	// Backoff is the base of the exponential backoff between attempts: the longest wait
	// before the second attempt is twice this time; 20 ms by default.
	Backoff  time.Duration
	Logger   log.Logger
	Registry metrics.Registry
	// Now is the wall clock for note records; nil means time.Now.
	Now func() time.Time
}

// withDefaults returns a copy of c in which unset fields have their defaults.
func (c Config) withDefaults() Config {
	c.MaxAttempts = cmp.Or(c.MaxAttempts, DefaultMaxAttempts)
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.UpdateTimeout = cmp.Or(c.UpdateTimeout, DefaultUpdateTimeout)
	c.Backoff = cmp.Or(c.Backoff, DefaultBackoff)
	c.Logger = cmp.Or(c.Logger, log.NewNopLogger())
	c.Registry = cmp.Or(c.Registry, metrics.NewRegistry())
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.KnownRevision == nil {
		c.KnownRevision = func() fleet.Revision { return 0 }
	}
	return c
}

// Applier applies release notes to the configuration in the platform.
type Applier struct {
	cfg       Config
	accepted  metrics.Counter
	refused   metrics.Counter
	unknown   metrics.Counter
	conflicts metrics.Counter
}

// Result is the result of an accepted note.
type Result struct {
	// Revision is the revision as which the note was accepted.
	Revision fleet.Revision `json:"revision"`
	// Repeated is true if the note had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

// Preview is the result of comparing a note with the configuration without applying it.
type Preview struct {
	// Revision is the current revision.
	Revision fleet.Revision `json:"revision"`
	// Repeated is true if the note is already part of the configuration.
	Repeated bool     `json:"repeated,omitempty"`
	Changes  []Change `json:"changes"`
}

// NewApplier returns an Applier.
func NewApplier(cfg Config) *Applier {
	cfg = cfg.withDefaults()
	return &Applier{
		cfg:       cfg,
		accepted:  metrics.GetOrRegisterCounter("release.accepted", cfg.Registry),
		refused:   metrics.GetOrRegisterCounter("release.refused", cfg.Registry),
		unknown:   metrics.GetOrRegisterCounter("release.unknown", cfg.Registry),
		conflicts: metrics.GetOrRegisterCounter("release.version_conflicts", cfg.Registry),
	}
}

// Apply merges the note into the stored configuration. Errors are *verdict.Error
// values: NotRun means that the write of this call did not and will not take effect;
// MayHaveRun means that the outcome is unknown and the operator should submit the same
// note again.
func (a *Applier) Apply(ctx context.Context, note Note, operator string) (Result, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.cfg.Timeout)
	defer cancel()
	r := applyRun{applier: a, note: &note, operator: operator}
	result, err := r.run(ctx)
	a.recordResult(&note, operator, result, err)
	return result, err
}

// Preview checks the note against the stored configuration and lists its
// changes without applying it.
func (a *Applier) Preview(ctx context.Context, note Note) (Preview, error) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.Timeout)
	defer cancel()
	current, _, err := a.readConfiguration(ctx)
	if err != nil {
		return Preview{}, err
	}
	preview := Preview{Revision: current.Revision, Changes: make([]Change, 0)}
	next, err := Apply(current, note, Meta{At: a.cfg.Now()})
	if err != nil {
		return Preview{}, err
	}
	if next.Revision == current.Revision {
		preview.Repeated = true
		return preview, nil
	}
	preview.Changes = Diff(current, note)
	return preview, nil
}

// recordResult counts and logs the result of an Apply.
func (a *Applier) recordResult(note *Note, operator string, result Result, err error) {
	logger := log.With(a.cfg.Logger, "note", note.ID, "operator", operator)
	switch {
	case err == nil:
		a.accepted.Inc(1)
		level.Info(logger).Log("msg", "note accepted", "revision", result.Revision, "repeated", result.Repeated)
	case verdict.Of(err).Verdict == verdict.NotRun:
		a.refused.Inc(1)
		level.Info(logger).Log("msg", "note refused", "err", err)
	default:
		a.unknown.Inc(1)
		level.Error(logger).Log("msg", "outcome of note unknown", "err", err)
	}
}

// readConfiguration reads the configuration and returns it with its object. It returns
// an error if the configuration is older than the known revision.
func (a *Applier) readConfiguration(ctx context.Context) (fleet.Configuration, object.Object, error) {
	var current fleet.Configuration
	stored, err := a.cfg.Store.Get(ctx, ConfigurationKey)
	switch {
	case errors.Is(err, object.ErrNotFound):
		stored = object.Object{Key: ConfigurationKey}
	case err != nil:
		return current, stored, verdict.New(verdict.NotRun, verdict.ReasonPlatform,
			"the configuration could not be read").WithCause(err)
	default:
		if err := json.Unmarshal(stored.Value, &current); err != nil {
			return current, stored, verdict.New(verdict.NotRun, verdict.ReasonInternal,
				"the stored configuration could not be decoded").WithCause(err)
		}
	}
	if known := a.cfg.KnownRevision(); current.Revision < known {
		return current, stored, verdict.New(verdict.NotRun, verdict.ReasonUnconfirmed,
			"the platform shows revision %d, older than the known revision %d", current.Revision, known)
	}
	return current, stored, nil
}

// backOff waits for a random time whose limit doubles with every failed attempt, up to
// 64 times the base.
func (a *Applier) backOff(ctx context.Context, failed int) {
	limit := a.cfg.Backoff << min(failed, 6)
	wait.For(ctx, rand.N(limit))
}
