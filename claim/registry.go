package claim

import (
	"cmp"
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// objectKind is the kind of partition objects at the platform.
const objectKind = "claim"

// Defaults of Config.
const (
	DefaultRetention     = time.Hour
	DefaultBatchWindow   = 10 * time.Millisecond
	DefaultCallTimeout   = 2 * time.Second
	DefaultClaimTimeout  = 3 * time.Second
	DefaultFinishTimeout = 10 * time.Minute
	DefaultAnswerWait    = 3 * time.Second
	DefaultAnswerPoll    = 300 * time.Millisecond
)

// Config holds the bounds of a Registry. Zero fields take their defaults.
type Config struct {
	// Retention is how long a claim is kept. A repeat after it may run again.
	Retention time.Duration
	// BatchWindow is how long the first claim of a batch waits for others.
	BatchWindow time.Duration
	// CallTimeout limits one call to the platform.
	CallTimeout time.Duration
	// ClaimTimeout limits the time to make a claim durable.
	ClaimTimeout time.Duration
	// FinishTimeout limits the background tries to store a final state.
	FinishTimeout time.Duration
	// AnswerWait is how long a repeat waits for the first call's answer.
	AnswerWait time.Duration
	// AnswerPoll is the interval between reads while a repeat waits.
	AnswerPoll time.Duration
}

// withDefaults returns c with its zero fields set.
func (c Config) withDefaults() Config {
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
	c.BatchWindow = cmp.Or(c.BatchWindow, DefaultBatchWindow)
	c.CallTimeout = cmp.Or(c.CallTimeout, DefaultCallTimeout)
	c.ClaimTimeout = cmp.Or(c.ClaimTimeout, DefaultClaimTimeout)
	c.FinishTimeout = cmp.Or(c.FinishTimeout, DefaultFinishTimeout)
	c.AnswerWait = cmp.Or(c.AnswerWait, DefaultAnswerWait)
	c.AnswerPoll = cmp.Or(c.AnswerPoll, DefaultAnswerPoll)
	return c
}

// registryMetrics counts platform work, in calls.
type registryMetrics struct {
	writes    metrics.Counter
	conflicts metrics.Counter
	failures  metrics.Counter
	claims    metrics.Counter
	replays   metrics.Counter
}

// Registry makes claims in the platform's Object API. It implements Claims.
type Registry struct {
	ctx     context.Context
	stop    context.CancelFunc
	store   object.Store
	config  Config
	logger  log.Logger
	metrics registryMetrics

	partitions [PartitionCount]*batcher
}

// NewRegistry returns a Registry on store.
func NewRegistry(store object.Store, config Config, logger log.Logger, registry metrics.Registry) *Registry {
	ctx, stop := context.WithCancel(context.Background())
	r := &Registry{
		ctx:    ctx,
		stop:   stop,
		store:  store,
		config: config.withDefaults(),
		logger: log.With(logger, "component", "claim"),
		metrics: registryMetrics{
			writes:    metrics.GetOrRegisterCounter("claim.writes", registry),
			conflicts: metrics.GetOrRegisterCounter("claim.conflicts", registry),
			failures:  metrics.GetOrRegisterCounter("claim.platform_failures", registry),
			claims:    metrics.GetOrRegisterCounter("claim.claims", registry),
			replays:   metrics.GetOrRegisterCounter("claim.replays", registry),
		},
	}
	for i := range r.partitions {
		key := object.Key{Kind: objectKind, Name: strconv.Itoa(i)}
		r.partitions[i] = &batcher{registry: r, key: key}
	}
	return r
}

// Close stops calls to the platform. Final states that are not yet stored stay
// unwritten: their claims remain open and repeats get "may have run".
func (r *Registry) Close() { r.stop() }

// Begin implements Claims.
func (r *Registry) Begin(ctx context.Context, key Key, hash string) (Claim, *Answer, error) {
	name, index := key.locate()
	h := &held{
		registry:  r,
		batcher:   r.partitions[index],
		name:      name,
		hash:      hash,
		attempt:   uuid.NewString(),
		createdMs: time.Now().UnixMilli(),
	}
	waitUntil := time.Now().Add(r.config.AnswerWait)
	for {
		res := r.begin(ctx, h)
		if !res.pending || time.Now().After(waitUntil) || !wait.For(ctx, r.config.AnswerPoll) {
			return r.settle(h, res)
		}
	}
}

// begin makes one attempt to claim.
func (r *Registry) begin(ctx context.Context, h *held) result {
	ctx, cancel := context.WithTimeout(ctx, r.config.ClaimTimeout)
	defer cancel()
	return h.batcher.do(ctx, &beginOperation{
		name:      h.name,
		hash:      h.hash,
		attempt:   h.attempt,
		createdMs: h.createdMs,
	})
}

// settle turns a result into the answer of Begin.
func (r *Registry) settle(h *held, res result) (Claim, *Answer, error) {
	var notDurable *notDurableError
	switch {
	case res.claimed:
		r.metrics.claims.Inc(1)
		return h, nil, nil
	case res.answer != nil:
		r.metrics.replays.Inc(1)
		return nil, res.answer, nil
	case errors.As(res.err, &notDurable):
		if notDurable.ambiguous {
			// The claim may be stored although nothing will be sent; releasing
			// it lets a repeat run.
			go h.finish(stateReleased, nil)
		}
		return nil, nil, platformError(res.err)
	default:
		return nil, nil, res.err
	}
}

// held is a claim made by this process. It implements Claim.
type held struct {
	registry  *Registry
	batcher   *batcher
	name      string
	hash      string
	attempt   string
	createdMs int64
}

// Answered implements Claim.
func (h *held) Answered(ctx context.Context, answer Answer) error {
	kept := &answer
	if len(answer.Body) > MaxAnswerSize {
		kept = nil
	}
	return h.finishWithin(ctx, stateAnswered, kept)
}

// Released implements Claim.
func (h *held) Released(ctx context.Context) error {
	return h.finishWithin(ctx, stateReleased, nil)
}

// Unknown implements Claim.
func (h *held) Unknown(ctx context.Context) error {
	return h.finishWithin(ctx, stateUnknown, nil)
}

// finishWithin stores the final state and returns when it is durable or when
// ctx ends; the tries go on in the background.
func (h *held) finishWithin(ctx context.Context, s state, answer *Answer) error {
	done := make(chan error, 1)
	go func() { done <- h.finish(s, answer) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return verdict.New(verdict.Ran, verdict.ReasonPlatform, "the final state of a claim is not stored yet").
			WithCause(ctx.Err())
	}
}

// finish stores the final state, trying until FinishTimeout.
func (h *held) finish(s state, answer *Answer) error {
	ctx, cancel := context.WithTimeout(h.registry.ctx, h.registry.config.FinishTimeout)
	defer cancel()
	res := h.batcher.do(ctx, &finishOperation{
		name:      h.name,
		hash:      h.hash,
		attempt:   h.attempt,
		createdMs: h.createdMs,
		state:     s,
		answer:    answer,
	})
	if res.err != nil {
		_ = level.Warn(h.registry.logger).Log("msg", "claim state not stored", "claim", h.name,
			"state", string(s), "err", res.err)
	}
	return res.err
}
