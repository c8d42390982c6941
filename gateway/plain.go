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
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/route"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	headerKey      = "Idempotency-Key"
	headerReplayed = "Rattanlanding-Replayed"
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
	// claimTimeout bounds the storing of an outcome after the deadline.
	claimTimeout = 2 * time.Second
)

// plainCall is one call to a plain service and its attempts.
type plainCall struct {
	*request
	gateway  *Gateway
	service  *fleet.Service
	path     string
	body     []byte
	header   http.Header
	deadline time.Time
	// repeatable tells that the call may be sent again although it may have run.
	repeatable bool
	sent       bool
}

// plain serves ANY /services/<service>/<path>.
func (g *Gateway) plain(r *request) error {
	body, err := g.readBody(r.ctx)
	if err != nil {
		return err
	}
	service, err := r.service(r.ctx.Param("service"), fleet.KindPlain, "service")
	if err != nil {
		return err
	}
	p := &plainCall{request: r, gateway: g, service: service, body: body, path: r.ctx.Param("path")}
	if !canonical(p.path) {
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
	listed := listedCall(service, r.ctx.Request.Method, p.path)
	p.repeatable = !listed && idempotentMethod(r.ctx.Request.Method)
	// A key asks for at most one run also where the configuration does not list
	// the call, as a caller expects who sends one.
	claimed := key != "" && !p.repeatable
	ctx := r.ctx.Request.Context()
	if claimed {
		// A call that runs at most once goes on without its caller, so that its
		// answer can be stored for a repeat.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	p.deadline, _ = ctx.Deadline()
	admission, err := g.Limiter.Admit(ctx, r.organisation.Name, service.Name, 0, priority)
	if err != nil {
		return err
	}
	defer admission.Done(0)
	p.header = forwarded(r.ctx.Request.Header)
	p.header.Set(backend.HeaderOrganisation, r.organisation.Name)
	p.header.Set(backend.HeaderPriority, strconv.Itoa(priority))
	if claimed {
		return p.claimed(ctx, key)
	}
	answer, err := p.run(ctx)
	if err != nil {
		return err
	}
	p.deliver(answer.Status, answer.Header, answer.Body)
	return nil
}

// claimed runs the call under a durable claim. The answer is stored before it is
// delivered, so that a repeat never finds less than the caller saw.
func (p *plainCall) claimed(ctx context.Context, key string) error {
	held, first, err := p.gateway.Claims.Begin(ctx,
		claim.Key{Organisation: p.organisation.Name, Service: p.service.Name, Key: key}, p.hash())
	if err != nil {
		return err
	}
	if first != nil {
		p.gateway.meters.replayed.Inc(1)
		p.ctx.Header(headerReplayed, "true")
		p.deliver(first.Status, first.Header, first.Body)
		return nil
	}
	settled := false
	defer func() {
		if !settled {
			// A panic leaves the outcome open.
			_ = held.Unknown(context.WithoutCancel(ctx))
		}
	}()
	answer, err := p.run(ctx)
	settled = true
	store, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	if err != nil {
		// The claim keeps trying to store an outcome that can't be stored now;
		// until then a repeat is told that the call may have run.
		if verdict.Of(err).Verdict == verdict.NotRun {
			_ = held.Released(store)
		} else {
			_ = held.Unknown(store)
		}
		return err
	}
	header := answered(answer.Header)
	_ = held.Answered(store, claim.Answer{Status: answer.Status, Header: header, Body: answer.Body})
	p.deliver(answer.Status, header, answer.Body)
	return nil
}

// hash identifies the content of the call.
func (p *plainCall) hash() string {
	h := sha256.New()
	for _, part := range []string{p.ctx.Request.Method, p.path, p.ctx.Request.URL.RawQuery} {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	_, _ = h.Write(p.body)
	return hex.EncodeToString(h.Sum(nil))
}

// run makes attempts until one is answered or no more are allowed.
func (p *plainCall) run(ctx context.Context) (backend.Answer, error) {
	g := p.gateway
	g.Budget.Request()
	var tried []string
	var last *verdict.Error
	for {
		target := g.pick(ctx, g.config.Servers, p.service.Name, tried, route.Request{}, g.config.PickWait)
		if target == nil {
			return backend.Answer{}, p.failed(last)
		}
		answer, err := p.attempt(ctx, target)
		if err == nil {
			return answer, nil
		}
		last = verdict.Of(err)
		p.sent = p.sent || last.Verdict != verdict.NotRun
		tried = append(tried, target.Name)
		if ctx.Err() != nil || len(tried) >= g.config.MaxAttempts || !retry.Allowed(last, p.repeatable) ||
			!g.Budget.Take() {
			return backend.Answer{}, p.failed(last)
		}
		g.meters.retries.Inc(1)
		if g.backoff.Wait(ctx, len(tried)) != nil {
			return backend.Answer{}, p.failed(last)
		}
	}
}

// attempt sends the call once.
func (p *plainCall) attempt(ctx context.Context, target *route.Target) (backend.Answer, error) {
	g, now := p.gateway, time.Now()
	if !target.Fresh(now) {
		return backend.Answer{}, verdict.New(verdict.NotRun, verdict.ReasonNoServer, "the server's evidence expired")
	}
	if !p.sent && !g.confirmed(now) {
		return backend.Answer{}, g.unconfirmed()
	}
	header := p.header.Clone()
	header.Set(backend.HeaderDeadline, strconv.FormatInt(max(p.deadline.Sub(now).Milliseconds(), 0), 10))
	url := *p.ctx.Request.URL
	prefix := "/services/" + p.service.Name
	url.Path = p.path
	url.RawPath = strings.TrimPrefix(url.RawPath, prefix)
	call := backend.Call{ID: uuid.NewString(), Address: target.Address, Method: p.ctx.Request.Method,
		URL: &url, Header: header, Body: p.body}
	target.Tracker.Add(1)
	if p.repeatable {
		return g.Servers.Do(ctx, call)
	}
	return g.Servers.DoOnce(ctx, call)
}

// failed returns the error of the whole call. It is NotRun only if every attempt
// was.
func (p *plainCall) failed(last *verdict.Error) error {
	if last == nil {
		last = verdict.New(verdict.NotRun, verdict.ReasonNoServer, "no server may receive the request").
			WithRetryAfter(time.Second)
	}
	e := *last
	if p.sent {
		e.Verdict = verdict.MayHaveRun
	}
	return &e
}

// deliver writes a whole answer.
func (p *plainCall) deliver(status int, header http.Header, body []byte) {
	p.gateway.extendWrite(p.ctx)
	w := p.ctx.Writer
	for name, values := range answered(header) {
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
	_, _ = w.Write(body)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// canonical reports whether p has one spelling only, so that a call that may not
// be repeated can't be hidden behind another spelling of its path.
func canonical(p string) bool {
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

// listedCall reports whether the service's configuration lists the call as one
// that may not be repeated.
func listedCall(service *fleet.Service, method, path string) bool {
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
