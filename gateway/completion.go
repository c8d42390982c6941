package gateway

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/drain"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/route"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// completionCopies is the number of copies of a body that a completion holds: its fields, the
// prompt, and the body that is sent to an engine.
const completionCopies = 3

// cancelTimeout is the time limit for cancelling an abandoned attempt at its engine.
const cancelTimeout = 2 * time.Second

// completion is the state of one completion request across its attempts.
type completion struct {
	*request
	gateway  *Gateway
	params   *completionRequest
	priority int
	deadline time.Time
	sink     sink
	// delivered holds the tokens that the sink accepted, in order.
	delivered []string
	// version is the model version that produced the delivered tokens. A stream
	// resumes only on groups of that version, because tokens of two versions do not
	// make up a complete response of either.
	version string
	// tried holds the names of the groups that were tried since the last new token.
	tried []string
	// mayHaveRun is true once an attempt got a stream, or failed without proof that it
	// was not run.
	mayHaveRun bool
	history    history
	// subject is the request as far as it may be put in quarantine.
	subject quarantine.Request
	// runs is the number of attempts that may have run.
	runs int
	// crashes is the number of crashes found; a check may end while another attempt is under way.
	crashes atomic.Int32
}

// handleCompletions serves POST /v1/completions.
func (g *Gateway) handleCompletions(r *request) error {
	body, err := g.readBody(r, completionCopies)
	if err != nil {
		return err
	}
	params, err := parseCompletion(body)
	if err != nil {
		return err
	}
	service, err := r.service(params.model, fleet.KindModel, "model")
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
	c := &completion{request: r, gateway: g, params: params, priority: priority}
	if c.subject.ID, err = params.identify(r.organisation.Name); err != nil {
		return err
	}
	c.subject.Trial = g.Quarantine.TakeTrial(c.subject)
	if refused := g.checkQuarantine(c.subject); refused != nil {
		return refused
	}
	kind := drain.Repeatable
	if params.stream {
		kind = drain.Stream
	}
	if timeout, err = g.limitToStop(r, kind, timeout); err != nil {
		return err
	}
	ctx, cancel := g.withEnd(r.ctx.Request.Context(), timeout)
	defer cancel()
	admission, err := g.Limiter.Admit(ctx, r.organisation.Name, service.Name, params.promptTokens()+params.maxTokens, priority)
	if err != nil {
		return err
	}
	c.deadline, _ = ctx.Deadline()
	defer func() { admission.Done(c.tokensUsed()) }()
	if params.stream {
		c.sink = &streamSink{gateway: g, request: r}
	} else {
		c.sink = &bufferedSink{gateway: g, request: r, params: params}
	}
	return c.run(ctx)
}

// tokensUsed returns the number of tokens charged to the organisation's limit.
func (c *completion) tokensUsed() int {
	if !c.mayHaveRun {
		return 0
	}
	return c.params.promptTokens() + len(c.delivered)
}

// run makes attempts until the completion is delivered or no attempt is left.
func (c *completion) run(ctx context.Context) error {
	c.gateway.Budget.AddRequest()
	var lastErr *verdict.Error
	for {
		target := c.pickTarget(ctx)
		if target == nil {
			return c.fail(ctx, lastErr)
		}
		deliveredBefore := len(c.delivered)
		err := c.attempt(ctx, target)
		if err == nil {
			return nil
		}
		lastErr = verdict.Of(err)
		c.mayHaveRun = c.mayHaveRun || lastErr.Verdict != verdict.NotRun
		progress := len(c.delivered) > deliveredBefore
		c.history.add(progress)
		c.history.crashes = int(c.crashes.Load())
		if progress {
			c.tried = c.tried[:0]
			c.gateway.metrics.resumes.Inc(1)
		}
		c.tried = append(c.tried, target.Name)
		if !c.waitForRetry(ctx, lastErr) {
			return c.fail(ctx, lastErr)
		}
	}
}

// waitForRetry reports whether another attempt is allowed, and if so waits for the
// backoff first. Resuming after progress (no failures) needs no backoff and takes nothing from
// the retry budget.
func (c *completion) waitForRetry(ctx context.Context, err *verdict.Error) bool {
	if ctx.Err() != nil || c.subject.Trial || !c.history.allowsAttempt(c.gateway.config.MaxAttempts) || !retry.Allowed(err, true) || c.checkStart() != nil {
		return false
	}
	failures := c.history.failures
	if failures == 0 {
		return true
	}
	if !c.gateway.Budget.Take() {
		return false
	}
	c.gateway.metrics.retries.Inc(1)
	return c.gateway.backoff.Wait(ctx, failures) == nil
}

// pickTarget waits for a target: PickWait for a new request, ResumeWait for a stream
// whose first tokens were delivered.
func (c *completion) pickTarget(ctx context.Context) *route.Target {
	wait := c.gateway.config.PickWait
	if len(c.delivered) > 0 {
		wait = c.gateway.config.ResumeWait
	}
	return c.gateway.pickTarget(ctx, c.gateway.config.Groups, c.params.model, c.tried, c.routeRequest(), c.subject, wait)
}

// routeRequest returns what the routing policy needs to choose a target. A request with
// delivered tokens needs a group of the same model version.
func (c *completion) routeRequest() route.Request {
	wanted := route.Request{Prefix: route.Prefix(c.params.prompt)}
	if len(c.delivered) > 0 {
		wanted.Version = c.version
	}
	return wanted
}

// fail reports the error of the whole request through the sink, or returns it. The
// verdict is NotRun only if that of every attempt was.
func (c *completion) fail(ctx context.Context, lastErr *verdict.Error) error {
	if lastErr == nil {
		lastErr = verdict.New(verdict.NotRun, verdict.ReasonNoHealthyGroup, "no group may receive the request").
			WithRetryAfter(time.Second)
	}
	if refused := c.gateway.checkQuarantine(c.subject); refused != nil {
		lastErr = refused
	}
	e := *lastErr
	if ctx.Err() == context.DeadlineExceeded {
		e.Reason, e.Message = verdict.ReasonDeadline, "the deadline passed"
	}
	if c.mayHaveRun {
		e.Verdict = verdict.MayHaveRun
	}
	if c.sink.fail(&e) {
		c.gateway.metrics.countError(e.Reason)
		return nil
	}
	return &e
}

// attempt sends the remainder of the request to target and delivers its tokens.
func (c *completion) attempt(ctx context.Context, target *route.Target) error {
	g := c.gateway
	from := len(c.delivered)
	if from == c.params.maxTokens {
		// All tokens were delivered but the end marker was not received. An engine
		// can't be asked for 0 tokens, so the last token is requested again; relay
		// does not deliver it twice.
		from--
	}
	body, err := c.params.encode(c.delivered[:from])
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonInternal, "request can't be encoded").WithCause(err)
	}
	requestCtx := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	attempt := backend.Attempt{
		ID: uuid.NewString(), Address: target.Address, Group: target.Name, Generation: target.Generation,
		Organisation: c.organisation.Name, Priority: c.priority, Deadline: c.deadline, From: from, Body: body,
	}
	detector := g.startStallDetector(target, cancel)
	defer detector.stop()
	if err := c.checkBeforeSend(target); err != nil {
		return err
	}
	target.Tracker.Add(c.params.promptTokens() + c.params.maxTokens)
	sent, start := g.newSending(target), time.Now()
	stream, err := g.Engines.Complete(ctx, attempt)
	if err == nil {
		c.mayHaveRun = true
		err = c.relay(stream, target, detector, start)
		stream.Close()
	}
	if err != nil && verdict.Of(err).Verdict != verdict.NotRun {
		g.cancelAttempt(attempt)
	}
	if from == 0 {
		// The last part of a resumed completion doesn't show that an engine can run the whole.
		if status := backend.ResponseStatus(err); err == nil {
			g.Quarantine.Answered(c.subject)
		} else if status > 0 {
			g.Quarantine.Responded(c.subject, status)
		}
	}
	if mayHaveCrashed(requestCtx, err) {
		subject := c.subject
		subject.EarlierAttempts = c.runs
		g.checkCrash(c.request, sent, subject, func() { c.crashes.Add(1) })
	}
	if err != nil && verdict.Of(err).Verdict != verdict.NotRun {
		c.runs++
	}
	return err
}

// checkStart returns an error if the request may not end before this node stops. One of which
// the caller has a part of the response always goes on.
func (c *completion) checkStart() *verdict.Error {
	if len(c.delivered) > 0 {
		return nil
	}
	return c.gateway.checkStart(c.request)
}

// checkBeforeSend refuses a request that was put in quarantine, and compares the expiry of
// the target's evidence with the clock just before sending: this process may have been
// paused after it chose the target, so that
// the evidence is stale. If the configuration is no longer confirmed, a request that
// certainly has not run yet is not started; nor is one that has waited until it may not end
// before this node stops.
func (c *completion) checkBeforeSend(target *route.Target) error {
	if refused := c.gateway.checkQuarantine(c.subject); refused != nil {
		return refused
	}
	now := time.Now()
	if !target.Fresh(now) {
		return verdict.New(verdict.NotRun, verdict.ReasonNoHealthyGroup, "the group's evidence expired").
			WithRetryAfter(time.Second)
	}
	if !c.mayHaveRun && !c.gateway.confirmed(now) {
		return c.gateway.unconfirmedError()
	}
	if err := c.checkStart(); err != nil {
		return err
	}
	return nil
}

// relay delivers the tokens of one attempt. It returns nil once the end marker was
// passed on.
func (c *completion) relay(stream backend.Stream, target *route.Target, detector *stallDetector, start time.Time) error {
	first := true
	for {
		event, err := stream.Next()
		if err == io.EOF {
			// The completion is complete even if the caller has disconnected.
			_ = c.sink.end()
			return nil
		}
		if err != nil {
			return err
		}
		detector.progress()
		if first {
			first = false
			target.Tracker.FirstToken(time.Since(start))
			c.gateway.metrics.firstToken.UpdateSince(start)
		}
		if len(c.delivered) >= c.params.maxTokens {
			continue
		}
		if err := c.sink.token(event); err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "the caller went away").WithCause(err)
		}
		c.delivered = append(c.delivered, event.Text)
		c.version = target.Version
		c.gateway.metrics.tokens.Inc(1)
	}
}

// cancelAttempt cancels an abandoned attempt at its engine in the background.
func (g *Gateway) cancelAttempt(a backend.Attempt) {
	g.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// If the cancel request fails, the engine still sees its connection closed.
		_ = g.Engines.Cancel(ctx, a.Address, a.ID)
	})
}
