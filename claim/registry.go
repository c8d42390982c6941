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

const (
	// DefaultRetention is the default of Config.Retention.
	DefaultRetention = time.Hour
	// DefaultBatchWindow is the default of Config.BatchWindow.
	DefaultBatchWindow = 10 * time.Millisecond
	// DefaultCallTimeout is the default of Config.CallTimeout.
	DefaultCallTimeout = 2 * time.Second
	// DefaultClaimTimeout is the default of Config.ClaimTimeout.
	DefaultClaimTimeout = 3 * time.Second
	// DefaultFinishTimeout is the default of Config.FinishTimeout.
	DefaultFinishTimeout = 10 * time.Minute
	// DefaultResponseWait is the default of Config.ResponseWait.
	DefaultResponseWait = 3 * time.Second
	// DefaultResponsePoll is the default of Config.ResponsePoll.
	DefaultResponsePoll = 300 * time.Millisecond
)

// Config holds the time limits of a Registry. A zero field means its default.
type Config struct {
	// Retention is how long a claim is kept. After it, a repeat may run again.
	Retention time.Duration
	// BatchWindow is how long the first claim of a batch waits for others.
	BatchWindow time.Duration
	// CallTimeout limits one call to the platform.
	CallTimeout time.Duration
	// ClaimTimeout limits the time to store a claim, retries included.
	ClaimTimeout time.Duration
	// FinishTimeout limits the time to store a final state, retries in the background
	// included.
	FinishTimeout time.Duration
	// ResponseWait is how long a repeat waits for the response of the first call.
	ResponseWait time.Duration
	// ResponsePoll is the interval at which a waiting repeat checks for the response.
	ResponsePoll time.Duration
}

// withDefaults returns c with its zero fields set to their defaults.
func (c Config) withDefaults() Config {
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
	c.BatchWindow = cmp.Or(c.BatchWindow, DefaultBatchWindow)
	c.CallTimeout = cmp.Or(c.CallTimeout, DefaultCallTimeout)
	c.ClaimTimeout = cmp.Or(c.ClaimTimeout, DefaultClaimTimeout)
	c.FinishTimeout = cmp.Or(c.FinishTimeout, DefaultFinishTimeout)
	c.ResponseWait = cmp.Or(c.ResponseWait, DefaultResponseWait)
	c.ResponsePoll = cmp.Or(c.ResponsePoll, DefaultResponsePoll)
	return c
}

// registryMetrics counts the writes, conflicts and failed calls at the platform, and the
// claims and replays that Begin returned.
type registryMetrics struct {
	writes    metrics.Counter
	conflicts metrics.Counter
	failures  metrics.Counter
	claims    metrics.Counter
	replays   metrics.Counter
}

// Registry stores claims in the platform's Object API. It implements Claims.
type Registry struct {
	// ctx ends when the Registry is closed. Calls to the platform use it, because a
	// batch serves several requests.
	ctx     context.Context
	stop    context.CancelFunc
	store   object.Store
	config  Config
	logger  log.Logger
	metrics registryMetrics

	partitions [PartitionCount]*batcher
}

// NewRegistry returns a Registry that stores claims in store.
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

// Close ends the calls to the platform. Final states that are not stored yet are lost:
// their claims stay open, and repeats get the verdict may-have-run.
func (r *Registry) Close() { r.stop() }

// Begin implements Claims.
func (r *Registry) Begin(ctx context.Context, key Key, hash string) (Claim, *Response, error) {
	name, index := key.locate()
	h := &heldClaim{
		registry:  r,
		batcher:   r.partitions[index],
		name:      name,
		hash:      hash,
		attempt:   uuid.NewString(),
		createdMs: time.Now().UnixMilli(),
	}
	waitUntil := time.Now().Add(r.config.ResponseWait)
	for {
		res := r.begin(ctx, h)
		if !res.pending || time.Now().After(waitUntil) || !wait.For(ctx, r.config.ResponsePoll) {
			return r.beginResult(h, res)
		}
	}
}

// begin makes one attempt to store the claim h.
func (r *Registry) begin(ctx context.Context, h *heldClaim) result {
	ctx, cancel := context.WithTimeout(ctx, r.config.ClaimTimeout)
	defer cancel()
	return h.batcher.do(ctx, &beginOperation{
		name:      h.name,
		hash:      h.hash,
		attempt:   h.attempt,
		createdMs: h.createdMs,
	})
}

// beginResult converts the result of the last attempt to the results of Begin.
func (r *Registry) beginResult(h *heldClaim, res result) (Claim, *Response, error) {
	var notDurable *notDurableError
	switch {
	case res.claimed:
		r.metrics.claims.Inc(1)
		return h, nil, nil
	case res.response != nil:
		r.metrics.replays.Inc(1)
		return nil, res.response, nil
	case errors.As(res.err, &notDurable):
		if notDurable.ambiguous {
			// The claim may be stored although the call will not be sent. Releasing it
			// allows a repeat to run.
			go h.finish(stateReleased, nil)
		}
		return nil, nil, platformError(res.err)
	default:
		return nil, nil, res.err
	}
}

// heldClaim is a claim that this process owns. It implements Claim.
type heldClaim struct {
	registry  *Registry
	batcher   *batcher
	name      string
	hash      string
	attempt   string
	createdMs int64
}

// Complete implements Claim.
func (h *heldClaim) Complete(ctx context.Context, response Response) error {
	stored := &response
	if len(response.Body) > MaxResponseBodySize {
		stored = nil
	}
	return h.finishWithin(ctx, stateAnswered, stored)
}

// Release implements Claim.
func (h *heldClaim) Release(ctx context.Context) error {
	return h.finishWithin(ctx, stateReleased, nil)
}

// MarkUnknown implements Claim.
func (h *heldClaim) MarkUnknown(ctx context.Context) error {
	return h.finishWithin(ctx, stateUnknown, nil)
}

// finishWithin stores the final state and returns when it is durable or when ctx ends.
// In the latter case the attempts continue in the background.
func (h *heldClaim) finishWithin(ctx context.Context, s state, response *Response) error {
	done := make(chan error, 1)
	go func() { done <- h.finish(s, response) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return verdict.New(verdict.Ran, verdict.ReasonPlatform, "the final state of a claim is not stored yet").
			WithCause(ctx.Err())
	}
}

// finish stores the final state and retries until FinishTimeout.
func (h *heldClaim) finish(s state, response *Response) error {
	ctx, cancel := context.WithTimeout(h.registry.ctx, h.registry.config.FinishTimeout)
	defer cancel()
	res := h.batcher.do(ctx, &finishOperation{
		name:      h.name,
		hash:      h.hash,
		attempt:   h.attempt,
		createdMs: h.createdMs,
		state:     s,
		response:  response,
	})
	if res.err != nil {
		_ = level.Warn(h.registry.logger).Log("msg", "final state of a claim not stored; repeats of the call may get may-have-run", "claim", h.name,
			"state", string(s), "err", res.err)
	}
	return res.err
}
