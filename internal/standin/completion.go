package standin

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// prefillSpeed is the number of prompt tokens processed in the time of one
// output token.
const prefillSpeed = 20

// Errors in the record for answers that a simulated fault changed.
var (
	errBroken    = errors.New("connection severed by a simulated fault")
	errTruncated = errors.New("stream truncated by a simulated fault")
	errLost      = errors.New("answer lost by a simulated fault")
)

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// ResumeTokens are the output tokens that were delivered before. The output
	// continues with the next one; MaxTokens counts those that are left.
	ResumeTokens []string `json:"resume_tokens,omitempty"`
}

// CompletionChunk is an event of a stream and the body of a whole answer.
type CompletionChunk struct {
	// ID and Attempt are the attempt.
	ID      string `json:"id"`
	Attempt string `json:"attempt"`
	// Position is the index of the chunk's first token in the whole answer.
	Position int                `json:"position"`
	Object   string             `json:"object"`
	Model    string             `json:"model"`
	Choices  []CompletionChoice `json:"choices"`
	Usage    *CompletionUsage   `json:"usage,omitempty"`
}

// CompletionChoice is a piece of output.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// CompletionUsage counts tokens.
type CompletionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// run is one request in an engine.
type run struct {
	request      CompletionRequest
	attempt      string
	organisation string
	priority     int
	header       http.Header
	role         fleet.Order
	cancel       context.CancelCauseFunc
	// start is closed when the run leaves the queue.
	start chan struct{}
	// cached is the number of prompt tokens found in the prefix cache.
	cached int
	record int
}

// from is the index of the first output token, and end the index after the last.
func (r *run) from() int { return len(r.request.ResumeTokens) }
func (r *run) end() int  { return r.from() + r.request.MaxTokens }

// resumable reports whether the tokens to resume from are this prompt's output.
func (r *run) resumable() bool {
	for i, token := range r.request.ResumeTokens {
		if token != Token(r.organisation, r.request.Prompt, i) {
			return false
		}
	}
	return true
}

// arrival records that a request reached the engine. A later begin says little
// about when it was sent, because a frozen or slow engine begins late.
func (e *Engine) arrival(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		generation, _ := strconv.ParseUint(r.Header.Get(HeaderGeneration), 10, 64)
		e.registry.events.add(Event{Kind: EventArrive, Instance: e.instance.ID, Request: &RequestRecord{
			Attempt: r.Header.Get(HeaderAttempt), Group: r.Header.Get(HeaderGroup),
			Generation: fleet.Generation(generation), Organisation: r.Header.Get(HeaderOrganisation),
		}})
		next(w, r)
	}
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	one := &run{
		attempt: r.Header.Get(HeaderAttempt), organisation: r.Header.Get(HeaderOrganisation),
		header: echo(r.Header), start: make(chan struct{}),
	}
	if !input(w, r, &one.request) {
		return
	}
	one.priority, _ = strconv.Atoi(r.Header.Get(HeaderPriority))
	ctx, cancel := context.WithCancelCause(r.Context())
	one.cancel = cancel
	defer cancel(nil)
	defer context.AfterFunc(e.ctx, func() { cancel(errors.New("engine stopped")) })()
	if status, reason := e.admit(one, r.Header); status != 0 {
		e.registry.events.add(Event{Kind: EventRefuse, Instance: e.instance.ID, Attempt: one.attempt, Fault: string(reason)})
		maps.Copy(w.Header(), one.header)
		refuse(w, status, reason, "refused before the request was run")
		return
	}
	select {
	case <-one.start:
	case <-ctx.Done():
	}
	// A panic that severs the connection leaves this error in the record.
	err := errBroken
	defer func() { e.end(one, err) }()
	err = e.execute(ctx, w, one, e.faults.next())
	if err != nil && !errors.Is(err, errTruncated) {
		sever()
	}
}

// admit starts or queues the run; a status other than 0 refuses it.
func (e *Engine) admit(one *run, header http.Header) (int, verdict.Reason) {
	generation, _ := strconv.ParseUint(header.Get(HeaderGeneration), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	switch {
	case header.Get(HeaderGroup) != e.role.Group || fleet.Generation(generation) != e.role.Generation ||
		e.role.Group == "" || e.role.Rank != 0 || e.releasing:
		return http.StatusConflict, ReasonWrongGroup
	case e.leaving:
		return http.StatusServiceUnavailable, verdict.ReasonDraining
	case e.state != fleet.EngineReady || len(e.waiting) >= e.pool.MaxRunning:
		return http.StatusServiceUnavailable, verdict.ReasonOverloaded
	case one.attempt == "" || e.runs[one.attempt] != nil || !one.resumable():
		return http.StatusBadRequest, verdict.ReasonBadRequest
	}
	one.role = e.role
	one.cached = e.cache.use(one.request.Prompt)
	one.record = len(e.record.Requests)
	e.record.Requests = append(e.record.Requests, RequestRecord{
		Attempt: one.attempt, Group: e.role.Group, Generation: e.role.Generation,
		Organisation: one.organisation, Prompt: one.request.Prompt, Priority: one.priority,
		ResumeTokens: one.from(), Begun: time.Now(),
	})
	begun := e.record.Requests[one.record]
	e.registry.events.add(Event{Kind: EventBegin, Instance: e.instance.ID, Request: &begun})
	e.runs[one.attempt] = one
	e.waiting = append(e.waiting, one)
	e.dispatch()
	return 0, ""
}

// dispatch starts waiting runs by priority; e.mu is held.
func (e *Engine) dispatch() {
	slices.SortStableFunc(e.waiting, func(a, b *run) int { return b.priority - a.priority })
	for len(e.waiting) > 0 && e.executing < e.pool.MaxRunning {
		e.executing++
		close(e.waiting[0].start)
		e.waiting = e.waiting[1:]
	}
}

// end removes a run and starts the next.
func (e *Engine) end(one *run, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := &e.record.Requests[one.record]
	record.Ended, record.Complete = time.Now(), err == nil
	if err != nil {
		record.Error = err.Error()
	}
	ended := *record
	e.registry.events.add(Event{Kind: EventEnd, Instance: e.instance.ID, Request: &ended})
	delete(e.runs, one.attempt)
	if i := slices.Index(e.waiting, one); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	} else {
		e.executing--
	}
	e.last = one
	e.dispatch()
	e.settle()
}

// abort fails everything that runs; e.mu is held.
func (e *Engine) abort(reason string) {
	for _, one := range e.runs {
		one.cancel(errors.New(reason))
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	one := e.runs[r.PathValue("id")]
	e.mu.Unlock()
	if one == nil {
		http.Error(w, "no such attempt runs", http.StatusNotFound)
		return
	}
	one.cancel(errors.New("cancelled"))
	w.WriteHeader(http.StatusNoContent)
}

// execute computes the output and sends it.
func (e *Engine) execute(ctx context.Context, w http.ResponseWriter, one *run, d distortion) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if err := e.stepAll(ctx, one, false); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer func() {
		cancel(nil)
		go func() { _ = e.stepAll(e.ctx, one, true) }()
	}()
	go e.keepStepping(ctx, one, cancel)
	out := e.output(w, one, d)
	perToken := time.Duration(float64(time.Second) / e.pool.TokensPerSecond)
	prompt := max(0, PromptTokens(one.request.Prompt)-one.cached) / prefillSpeed
	due := time.Now().Add(time.Duration(prompt) * perToken)
	for i := one.from(); i < out.stop; i++ {
		due = due.Add(perToken)
		if left := time.Until(due); left > 0 {
			out.flush()
			wait.For(ctx, left)
		}
		e.faults.awaitThaw(ctx)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if one.request.Stream {
			out.token(i)
		}
	}
	if err := e.stepAll(ctx, one, false); err != nil {
		return err
	}
	return out.finish()
}

// output sends one answer with its faults.
type output struct {
	w    http.ResponseWriter
	one  *run
	body *run
	d    distortion
	// stop is the first token index that is not sent.
	stop int
	sent [][]byte
}

func (e *Engine) output(w http.ResponseWriter, one *run, d distortion) *output {
	o := &output{w: w, one: one, body: one, d: d, stop: one.end()}
	e.mu.Lock()
	other := e.last
	e.mu.Unlock()
	e.registry.events.faults(e.instance.ID, one.attempt, d, other != nil, one.request.Stream)
	header := one.header
	if other != nil && (d.cross || d.crossBody) {
		o.body = other
		if d.cross {
			header = other.header
		}
	}
	if d.truncate && one.request.Stream {
		o.stop = (one.from() + one.end()) / 2
	}
	for name, values := range header {
		w.Header()[name] = values
	}
	if one.request.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	return o
}

func (o *output) chunk(from, end int) CompletionChunk {
	choice := CompletionChoice{Text: Text(o.body.organisation, o.body.request.Prompt, from, end)}
	if end >= o.one.end() {
		reason := "length"
		choice.FinishReason = &reason
	}
	return CompletionChunk{
		ID: o.body.attempt, Attempt: o.body.attempt, Position: from, Object: "text_completion",
		Model:   o.body.request.Model,
		Choices: []CompletionChoice{choice},
	}
}

func (o *output) token(i int) {
	data, _ := json.Marshal(o.chunk(i, i+1))
	o.event(data)
	if o.d.doubleEvents {
		o.event(data)
	}
}

func (o *output) event(data []byte) {
	event := append(append([]byte("data: "), data...), "\n\n"...)
	if o.d.double {
		o.sent = append(o.sent, event)
	}
	if !o.d.lose {
		_, _ = o.w.Write(event)
	}
}

func (o *output) flush() {
	if o.one.request.Stream && !o.d.lose {
		_ = http.NewResponseController(o.w).Flush()
	}
}

// finish sends the end of a stream or the whole answer.
func (o *output) finish() error {
	if o.d.lose {
		return errLost
	}
	if !o.one.request.Stream {
		request := o.one.request
		whole := o.chunk(o.one.from(), o.one.end())
		tokens := PromptTokens(request.Prompt)
		whole.Usage = &CompletionUsage{tokens, request.MaxTokens, tokens + request.MaxTokens}
		data, _ := json.Marshal(whole)
		sendWhole(o.w, &plainReply{body: data}, o.d)
		return nil
	}
	if o.d.truncate {
		return errTruncated
	}
	o.event([]byte("[DONE]"))
	for _, event := range o.sent {
		_, _ = o.w.Write(event)
	}
	return nil
}
