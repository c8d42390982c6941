package gateway

import (
	"context"
	"io"
	"time"

	"github.com/google/uuid"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/route"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// maxResumes bounds how often one stream moves to another group.
	maxResumes = 16
	// cancelTimeout bounds the cancel of an attempt nobody waits for.
	cancelTimeout = 2 * time.Second
)

// completion is one request for a completion and its attempts.
type completion struct {
	*request
	gateway  *Gateway
	query    *completionRequest
	priority int
	deadline time.Time
	sink     sink
	// delivered are the tokens that the sink took, in order.
	delivered []string
	// version is the model version that produced the delivered tokens. A stream
	// resumes only on groups of that version, because an answer of two versions
	// is not the whole answer of either.
	version string
	// tried names the groups of attempts since the last progress.
	tried []string
	// sent tells that an attempt was not provably refused.
	sent bool
}

// completions serves POST /v1/completions.
func (g *Gateway) completions(r *request) error {
	body, err := g.readBody(r.ctx)
	if err != nil {
		return err
	}
	query, err := parseCompletion(body)
	if err != nil {
		return err
	}
	service, err := r.service(query.model, fleet.KindModel, "model")
	if err != nil {
		return err
	}
	timeout, err := r.timeout(service, g.config.CompletionTimeout)
	if err != nil {
		return err
	}
	priority, err := r.priority()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx.Request.Context(), timeout)
	defer cancel()
	admission, err := g.Limiter.Admit(ctx, r.organisation.Name, service.Name, query.promptTokens()+query.maxTokens, priority)
	if err != nil {
		return err
	}
	c := &completion{request: r, gateway: g, query: query, priority: priority}
	c.deadline, _ = ctx.Deadline()
	defer func() { admission.Done(c.used()) }()
	if query.stream {
		c.sink = &streamSink{gateway: g, request: r}
	} else {
		c.sink = &wholeSink{gateway: g, request: r, query: query}
	}
	return c.run(ctx)
}

// used returns the tokens that the request cost.
func (c *completion) used() int {
	if !c.sent {
		return 0
	}
	return c.query.promptTokens() + len(c.delivered)
}

// run makes attempts until the answer is complete.
func (c *completion) run(ctx context.Context) error {
	c.gateway.Budget.Request()
	failed, resumes := 0, 0
	var last *verdict.Error
	for {
		target := c.pick(ctx)
		if target == nil {
			return c.fail(ctx, last)
		}
		before := len(c.delivered)
		err := c.attempt(ctx, target)
		if err == nil {
			return nil
		}
		last = verdict.Of(err)
		c.sent = c.sent || last.Verdict != verdict.NotRun
		if len(c.delivered) > before {
			// Moving a stream that made progress does not multiply load as a
			// retry does, so it takes nothing from the budget.
			failed, c.tried = 0, c.tried[:0]
			resumes++
			c.gateway.meters.resumes.Inc(1)
		} else {
			failed++
		}
		c.tried = append(c.tried, target.Name)
		if resumes > maxResumes || !c.again(ctx, failed, last) {
			return c.fail(ctx, last)
		}
	}
}

// again reports whether another attempt may follow, after the backoff.
func (c *completion) again(ctx context.Context, failed int, err *verdict.Error) bool {
	if ctx.Err() != nil || failed >= c.gateway.config.MaxAttempts || !retry.Allowed(err, true) {
		return false
	}
	if failed == 0 {
		return true
	}
	if !c.gateway.Budget.Take() {
		return false
	}
	c.gateway.meters.retries.Inc(1)
	return c.gateway.backoff.Wait(ctx, failed) == nil
}

func (c *completion) pick(ctx context.Context) *route.Target {
	wait := c.gateway.config.PickWait
	if len(c.delivered) > 0 {
		wait = c.gateway.config.ResumeWait
	}
	return c.gateway.pick(ctx, c.gateway.config.Groups, c.query.model, c.tried, c.wanted(), wait)
}

// wanted describes the target that the request needs.
func (c *completion) wanted() route.Request {
	q := route.Request{Prefix: route.Prefix(c.query.prompt)}
	if len(c.delivered) > 0 {
		q.Version = c.version
	}
	return q
}

// fail delivers the error of the whole request. It is NotRun only if every
// attempt was.
func (c *completion) fail(ctx context.Context, last *verdict.Error) error {
	if last == nil {
		last = verdict.New(verdict.NotRun, verdict.ReasonNoHealthyGroup, "no group may receive the request").
			WithRetryAfter(time.Second)
	}
	e := *last
	if ctx.Err() == context.DeadlineExceeded {
		e.Reason, e.Message = verdict.ReasonDeadline, "the deadline passed"
	}
	if c.sent {
		e.Verdict = verdict.MayHaveRun
	}
	if c.sink.fail(&e) {
		c.gateway.meters.failed(e.Reason)
		return nil
	}
	return &e
}

// attempt sends the rest of the request to target and delivers its tokens.
func (c *completion) attempt(ctx context.Context, target *route.Target) error {
	g := c.gateway
	from := len(c.delivered)
	if from == c.query.maxTokens {
		// All tokens were delivered but the end marker was not seen. The last
		// token is asked for again, because an engine can't produce none, and
		// is not delivered twice.
		from--
	}
	body, err := c.query.encode(c.delivered[:from])
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonInternal, "request can't be encoded").WithCause(err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	attempt := backend.Attempt{
		ID: uuid.NewString(), Address: target.Address, Group: target.Name, Generation: target.Generation,
		Organisation: c.organisation.Name, Priority: c.priority, Deadline: c.deadline, From: from, Body: body,
	}
	watch := g.watch(target, cancel)
	defer watch.stop()
	if err := c.mayStillSend(target); err != nil {
		return err
	}
	target.Tracker.Add(c.query.promptTokens() + c.query.maxTokens)
	start := time.Now()
	stream, err := g.Engines.Complete(ctx, attempt)
	if err == nil {
		c.sent = true
		err = c.relay(stream, target, watch, start)
		stream.Close()
	}
	if err != nil && verdict.Of(err).Verdict != verdict.NotRun {
		g.cancelAttempt(attempt)
	}
	return err
}

// mayStillSend compares the expiry of the evidence with the clock just before
// sending, so that a pause since the choice can't lead to a stale group. A node
// that became unconfirmed sends nothing for a request it has not begun.
func (c *completion) mayStillSend(target *route.Target) error {
	now := time.Now()
	if !target.Fresh(now) {
		return verdict.New(verdict.NotRun, verdict.ReasonNoHealthyGroup, "the group's evidence expired").
			WithRetryAfter(time.Second)
	}
	if !c.sent && !c.gateway.confirmed(now) {
		return c.gateway.unconfirmed()
	}
	return nil
}

// relay delivers the tokens of one attempt. It returns nil once the caller has
// the end marker.
func (c *completion) relay(stream backend.Stream, target *route.Target, watch *watch, start time.Time) error {
	first := true
	for {
		event, err := stream.Next()
		if err == io.EOF {
			// The caller may be gone; the answer itself is complete.
			_ = c.sink.end()
			return nil
		}
		if err != nil {
			return err
		}
		watch.progress()
		if first {
			first = false
			target.Tracker.FirstToken(time.Since(start))
			c.gateway.meters.firstToken.UpdateSince(start)
		}
		if len(c.delivered) >= c.query.maxTokens {
			continue
		}
		if err := c.sink.token(event); err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "the caller went away").WithCause(err)
		}
		c.delivered = append(c.delivered, event.Text)
		c.version = target.Version
		c.gateway.meters.tokens.Inc(1)
	}
}

// cancelAttempt tells the engine in the background that nobody waits.
func (g *Gateway) cancelAttempt(a backend.Attempt) {
	g.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// An engine that doesn't answer notices the closed connection.
		_ = g.Engines.Cancel(ctx, a.Address, a.ID)
	})
}
