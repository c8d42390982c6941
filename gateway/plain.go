package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/claim"
	"github.com/rattanlanding/rattanlanding/drain"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/memory"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/route"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// headerKey carries the caller's idempotency key.
	headerKey = "Idempotency-Key"
	// headerReplayed marks a response that is the stored one of an earlier call.
	headerReplayed = "Rattanlanding-Replayed"
	// maxKeyBytes is the largest length of an idempotency key.
	maxKeyBytes = 256
	// claimTimeout limits how long a request waits for its outcome to be stored, also
	// after its deadline.
	claimTimeout = 2 * time.Second
)

// plainCall is the state of one call to a plain service across its attempts.
type plainCall struct {
	*request
	gateway  *Gateway
	service  *fleet.Service
	path     string
	body     []byte
	header   http.Header
	deadline time.Time
	// repeatable is true if the call is idempotent and may be sent again although it
	// may have run.
	repeatable bool
	// mayHaveRun is true once an attempt failed without proof that it was not run.
	mayHaveRun bool
	// subject is the call as far as it may be put in quarantine.
	subject quarantine.Request
	// runs is the number of attempts that may have run.
	runs int
	// hold is the memory of the response.
	hold *memory.Hold
}

// handlePlain serves /services/<service>/<path> for all methods.
func (g *Gateway) handlePlain(r *request) error {
	body, err := g.readBody(r, 0)
	if err != nil {
		return err
	}
	service, err := r.service(r.ctx.Param("service"), fleet.KindPlain, "service")
	if err != nil {
		return err
	}
	p := &plainCall{request: r, gateway: g, service: service, body: body, path: r.ctx.Param("path")}
	p.hold = p.holdResponse()
	defer p.hold.Release()
	if !canonicalPath(p.path) {
		return verdict.BadField("path", "must have no empty, '.' or '..' segments")
	}
	timeout, err := r.timeout(service, g.config.PlainTimeout)
	if err != nil {
		return err
	}
	priority, err := r.priority()
	if err != nil {
		return err
	}
	if len(r.ctx.Request.Header.Values(headerKey)) > 1 {
		return verdict.BadField(headerKey, "must be given once")
	}
	key := r.ctx.GetHeader(headerKey)
	if len(key) > maxKeyBytes {
		return verdict.BadField(headerKey, "must be at most %d bytes", maxKeyBytes)
	}
	nonIdempotent := listedNonIdempotent(service, r.ctx.Request.Method, p.path)
	p.repeatable = !nonIdempotent && idempotentMethod(r.ctx.Request.Method)
	// A caller that sends an idempotency key expects at most one run, so the key also
	// takes effect on calls that the configuration does not list as non-idempotent.
	needsClaim := key != "" && !p.repeatable
	p.subject.ID = p.identify()
	p.subject.Trial = g.Quarantine.TakeTrial(p.subject)
	// A call with a claim may have a stored response. If not, it is refused before it is sent.
	if refused := g.checkQuarantine(p.subject); refused != nil && !needsClaim {
		return refused
	}
	ctx := r.ctx.Request.Context()
	if needsClaim {
		// A call that runs at most once continues after its caller has disconnected, so
		// that its response can be stored for a repeat.
		ctx = context.WithoutCancel(ctx)
	}
	kind := drain.Once
	if p.repeatable {
		kind = drain.Repeatable
	}
	if timeout, err = g.limitToStop(r, kind, timeout); err != nil {
		return err
	}
	ctx, cancel := g.withEnd(ctx, timeout)
	defer cancel()
	p.deadline, _ = ctx.Deadline()
	admission, err := g.Limiter.Admit(ctx, r.organisation.Name, service.Name, 0, priority)
	if err != nil {
		return err
	}
	defer admission.Done(0)
	p.header = serverHeader(r.ctx.Request.Header)
	p.header.Set(backend.HeaderOrganisation, r.organisation.Name)
	p.header.Set(backend.HeaderPriority, strconv.Itoa(priority))
	if needsClaim {
		return p.runClaimed(ctx, key)
	}
	response, err := p.run(ctx)
	if err != nil {
		return err
	}
	p.writeResponse(response.Status, response.Header, response.Body)
	return nil
}

// runClaimed runs the call under a durable idempotency claim. The response is stored
// before it is delivered, so that a repeat gets whatever the caller has seen.
func (p *plainCall) runClaimed(ctx context.Context, key string) error {
	granted, stored, err := p.gateway.Claims.Begin(ctx,
		claim.Key{Organisation: p.organisation.Name, Service: p.service.Name, Key: key}, p.hash())
	if err != nil {
		return err
	}
	if stored != nil {
		p.gateway.metrics.replayed.Inc(1)
		p.ctx.Header(headerReplayed, "true")
		p.writeResponse(stored.Status, stored.Header, stored.Body)
		return nil
	}
	runReturned := false
	defer func() {
		if !runReturned {
			// After a panic the outcome is unknown.
			_ = granted.MarkUnknown(context.WithoutCancel(ctx))
		}
	}()
	response, err := p.run(ctx)
	runReturned = true
	storeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	if err != nil {
		// An outcome that can't be stored now is retried in the background by the claim;
		// until it is stored, a repeat gets the verdict may-have-run.
		if verdict.Of(err).Verdict == verdict.NotRun {
			_ = granted.Release(storeCtx)
		} else {
			_ = granted.MarkUnknown(storeCtx)
		}
		return err
	}
	header := callerHeader(response.Header)
	_ = granted.Complete(storeCtx, claim.Response{Status: response.Status, Header: header, Body: response.Body})
	p.writeResponse(response.Status, header, response.Body)
	return nil
}

// hash returns a hash of the call's method, path, query and body.
func (p *plainCall) hash() string {
	h := sha256.New()
	for _, part := range []string{p.ctx.Request.Method, p.path, p.ctx.Request.URL.RawQuery} {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	_, _ = h.Write(p.body)
	return hex.EncodeToString(h.Sum(nil))
}

// run makes attempts until one gets a response or no more are allowed.
func (p *plainCall) run(ctx context.Context) (backend.Response, error) {
	g := p.gateway
	g.Budget.AddRequest()
	var tried []string
	var lastErr *verdict.Error
	for {
		target := g.pickTarget(ctx, g.config.Servers, p.service.Name, tried, route.Request{}, p.subject, g.config.PickWait)
		if target == nil {
			return backend.Response{}, p.callError(lastErr)
		}
		response, err := p.attempt(ctx, target)
		if err == nil {
			return response, nil
		}
		lastErr = verdict.Of(err)
		p.mayHaveRun = p.mayHaveRun || lastErr.Verdict != verdict.NotRun
		tried = append(tried, target.Name)
		if ctx.Err() != nil || p.subject.Trial || len(tried) >= g.config.MaxAttempts || !retry.Allowed(lastErr, p.repeatable) ||
			g.checkStart(p.request) != nil || !g.Budget.Take() {
			return backend.Response{}, p.callError(lastErr)
		}
		g.metrics.retries.Inc(1)
		if g.backoff.Wait(ctx, len(tried)) != nil {
			return backend.Response{}, p.callError(lastErr)
		}
	}
}

// attempt sends the call to target once, after checking that it isn't in quarantine, and that
// the target's evidence and the configuration are still valid.
func (p *plainCall) attempt(ctx context.Context, target *route.Target) (backend.Response, error) {
	g, now := p.gateway, time.Now()
	if refused := g.checkQuarantine(p.subject); refused != nil {
		return backend.Response{}, refused
	}
	if !target.Fresh(now) {
		return backend.Response{}, verdict.New(verdict.NotRun, verdict.ReasonNoServer, "the server's evidence expired")
	}
	if !p.mayHaveRun && !g.confirmed(now) {
		return backend.Response{}, g.unconfirmedError()
	}
	if err := g.checkStart(p.request); err != nil {
		return backend.Response{}, err
	}
	header := p.header.Clone()
	header.Set(backend.HeaderDeadline, strconv.FormatInt(max(p.deadline.Sub(now).Milliseconds(), 0), 10))
	url := *p.ctx.Request.URL
	prefix := "/services/" + p.service.Name
	url.Path = p.path
	url.RawPath = strings.TrimPrefix(url.RawPath, prefix)
	call := backend.Call{ID: uuid.NewString(), Address: target.Address, Method: p.ctx.Request.Method,
		URL: &url, Header: header, Body: p.body, Hold: p.hold}
	target.Tracker.Add(1)
	sent, send := g.newSending(target), g.Servers.DoOnce
	if p.repeatable {
		send = g.Servers.Do
	}
	response, err := send(ctx, call)
	if err == nil {
		g.Quarantine.Responded(p.subject, response.Status)
		return response, nil
	}
	if mayHaveCrashed(ctx, err) {
		subject := p.subject
		subject.EarlierAttempts = p.runs
		g.checkCrash(p.request, sent, subject, func() {})
	}
	if verdict.Of(err).Verdict != verdict.NotRun {
		p.runs++
	}
	return response, err
}

// callError returns the error of the whole call. The verdict is NotRun only if that of
// every attempt was.
func (p *plainCall) callError(lastErr *verdict.Error) error {
	if lastErr == nil {
		lastErr = verdict.New(verdict.NotRun, verdict.ReasonNoServer, "no server may receive the request").
			WithRetryAfter(time.Second)
	}
	if refused := p.gateway.checkQuarantine(p.subject); refused != nil {
		lastErr = refused
	}
	e := *lastErr
	if p.mayHaveRun {
		e.Verdict = verdict.MayHaveRun
	}
	return &e
}

// writeResponse writes a complete response to the caller.
func (p *plainCall) writeResponse(status int, header http.Header, body []byte) {
	p.gateway.extendWriteDeadline(p.ctx)
	w := p.ctx.Writer
	for name, values := range callerHeader(header) {
		w.Header()[name] = values
	}
	if p.ctx.Request.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if !bodyAllowed(status) {
		w.Header().Del("Content-Length")
		body = nil
	}
	w.WriteHeader(status)
	w.WriteHeaderNow()
	p.writeBody(body)
}

// bodyAllowed reports whether a response with the given status may have a body.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// canonicalPath reports whether p is in canonical form. Other spellings are refused, so
// that a call can't avoid the list of non-idempotent calls by another spelling of its
// path.
func canonicalPath(p string) bool {
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

// listedNonIdempotent reports whether the service's configuration lists the call as
// non-idempotent, that is, one that may not be repeated.
func listedNonIdempotent(service *fleet.Service, method, path string) bool {
	for _, entry := range service.NonIdempotent {
		m, prefix, _ := strings.Cut(entry, " ")
		if strings.EqualFold(m, method) && strings.HasPrefix(path, strings.TrimSpace(prefix)) {
			return true
		}
	}
	return false
}

// idempotentMethod reports whether HTTP defines the method as idempotent.
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}
