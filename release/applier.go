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

// Key is the object that holds the configuration.
var Key = object.Key{Kind: "config", Name: "current"}

// Defaults of Config.
const (
	DefaultAttempts      = 8
	DefaultTimeout       = 10 * time.Second
	DefaultUpdateTimeout = 2 * time.Second
	DefaultBackoff       = 20 * time.Millisecond
)

// Store is the part of the Object API that an Applier uses.
type Store interface {
	Get(ctx context.Context, key object.Key) (object.Object, error)
	Update(ctx context.Context, key object.Key, expected object.Version, value []byte) (object.Version, error)
}

// Gate decides whether this node may accept release notes.
type Gate interface {
	// MayAccept returns nil if the node hears from a majority of the members
	// and the platform does not show an older revision than the node has.
	MayAccept() error
	// Prepare tells a majority of the members that revision is about to be
	// written. Its error means that too few took note, and nothing is written.
	Prepare(ctx context.Context, revision fleet.Revision) error
}

// Publisher learns an accepted configuration at once.
type Publisher interface {
	Publish(name string, version uint64, body []byte)
}

// Config sets up an Applier. Store and Gate are required.
type Config struct {
	Store     Store
	Gate      Gate
	Publisher Publisher
	// Known returns the newest revision that this node knows; nil means 0. A
	// platform that shows an older one was restored from a backup.
	Known func() fleet.Revision
	// Attempts bounds the rounds of read, merge and update.
	Attempts int
	// Timeout bounds one Apply. It does not end with the caller's connection.
	Timeout time.Duration
	// UpdateTimeout bounds the time from the gate's answer to the end of the
	// update, so that a process that was paused in between does not write on
	// the strength of an old answer.
	UpdateTimeout time.Duration
	// Backoff is the largest wait after the first failed round; it doubles with
	// every round.
	Backoff  time.Duration
	Logger   log.Logger
	Registry metrics.Registry
	// Now is the wall clock for note records; nil means time.Now.
	Now func() time.Time
}

// withDefaults returns c with its zero fields set.
func (c Config) withDefaults() Config {
	c.Attempts = cmp.Or(c.Attempts, DefaultAttempts)
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.UpdateTimeout = cmp.Or(c.UpdateTimeout, DefaultUpdateTimeout)
	c.Backoff = cmp.Or(c.Backoff, DefaultBackoff)
	c.Logger = cmp.Or(c.Logger, log.NewNopLogger())
	c.Registry = cmp.Or(c.Registry, metrics.NewRegistry())
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Known == nil {
		c.Known = func() fleet.Revision { return 0 }
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

// Result is the answer to an accepted note.
type Result struct {
	Revision fleet.Revision `json:"revision"`
	// Repeated tells that the note had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

// Preview is the answer to a note that was compared but not applied.
type Preview struct {
	// Revision is the current revision.
	Revision fleet.Revision `json:"revision"`
	// Repeated tells that the note is already part of the configuration.
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

// Apply merges the note into the stored configuration. Errors are
// *verdict.Error values: NotRun means that this call's write did not and will
// not take effect; MayHaveRun means that the operator should repeat the same
// note.
func (a *Applier) Apply(ctx context.Context, note Note, operator string) (Result, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.cfg.Timeout)
	defer cancel()
	r := round{applier: a, note: &note, operator: operator}
	result, err := r.run(ctx)
	a.report(&note, operator, result, err)
	return result, err
}

// Preview checks the note against the stored configuration and lists its
// changes without applying it.
func (a *Applier) Preview(ctx context.Context, note Note) (Preview, error) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.Timeout)
	defer cancel()
	current, _, err := a.read(ctx)
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

func (a *Applier) report(note *Note, operator string, result Result, err error) {
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

// read returns the stored configuration with its object.
func (a *Applier) read(ctx context.Context) (fleet.Configuration, object.Object, error) {
	var current fleet.Configuration
	stored, err := a.cfg.Store.Get(ctx, Key)
	switch {
	case errors.Is(err, object.ErrNotFound):
		stored = object.Object{Key: Key}
	case err != nil:
		return current, stored, verdict.New(verdict.NotRun, verdict.ReasonPlatform,
			"the configuration could not be read").WithCause(err)
	default:
		if err := json.Unmarshal(stored.Value, &current); err != nil {
			return current, stored, verdict.New(verdict.NotRun, verdict.ReasonInternal,
				"the stored configuration could not be decoded").WithCause(err)
		}
	}
	if known := a.cfg.Known(); current.Revision < known {
		return current, stored, verdict.New(verdict.NotRun, verdict.ReasonUnconfirmed,
			"the platform shows revision %d, older than the known revision %d", current.Revision, known)
	}
	return current, stored, nil
}

// pause waits a random time that grows with the number of failed rounds.
func (a *Applier) pause(ctx context.Context, failed int) {
	limit := a.cfg.Backoff << min(failed, 6)
	wait.For(ctx, rand.N(limit))
}
