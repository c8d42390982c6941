package standin

import (
	"context"
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

// prefillTokensPerOutputToken is the number of prompt tokens that an engine
// processes in the time of one output token.
const prefillTokensPerOutputToken = 20

// Errors in an engine's record for responses that an injected fault changed.
var (
	errConnectionClosed = errors.New("connection severed by a simulated fault")
	errTruncated        = errors.New("stream truncated by a simulated fault")
	errResponseLost     = errors.New("answer lost by a simulated fault")
	errCrashed          = errors.New("engine crashed under the request by a simulated fault")
)

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// ResumeTokens are the output tokens that the caller already received from an
	// earlier attempt. The output continues after them, and MaxTokens limits only
	// the tokens that follow.
	ResumeTokens []string `json:"resume_tokens,omitempty"`
}

// CompletionChunk is an event of a stream, or the body of a response without
// streaming.
type CompletionChunk struct {
	// ID and Attempt are both the attempt's ID.
	ID      string `json:"id"`
	Attempt string `json:"attempt"`
	// Position is the index of the chunk's first token in the whole output.
	Position int                `json:"position"`
	Object   string             `json:"object"`
	Model    string             `json:"model"`
	Choices  []CompletionChoice `json:"choices"`
	Usage    *CompletionUsage   `json:"usage,omitempty"`
}

// CompletionChoice is the output text of a chunk.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// CompletionUsage holds the token counts of a completion.
type CompletionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completion is a completion request that an engine queues or runs.
type completion struct {
	request      CompletionRequest
	attempt      string
	organisation string
	priority     int
	// header holds the attempt headers that the response echoes.
	header http.Header
	// role is the engine's role when it admitted the request.
	role   fleet.Command
	cancel context.CancelCauseFunc
	// started is closed when the completion leaves the queue.
	started chan struct{}
	// cachedTokens is the number of prompt tokens found in the prefix cache.
	cachedTokens int
	// recordIndex is the completion's index in EngineRecord.Requests.
	recordIndex int
}

// firstToken returns the index of the first output token to send.
func (c *completion) firstToken() int { return len(c.request.ResumeTokens) }

// endToken returns the index after the last output token to send.
func (c *completion) endToken() int { return c.firstToken() + c.request.MaxTokens }

// resumable reports whether ResumeTokens are the start of this prompt's output.
func (c *completion) resumable() bool {
	for i, token := range c.request.ResumeTokens {
		if token != Token(c.organisation, c.request.Prompt, i) {
			return false
		}
	}
	return true
}

// recordArrival wraps a handler and records when a request reached the engine. The
// time at which the engine begins to run it says little about when it was sent,
// because a frozen or slow engine begins late.
func (e *Engine) recordArrival(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		generation, _ := strconv.ParseUint(r.Header.Get(HeaderGeneration), 10, 64)
		e.platform.events.add(Event{Kind: EventArrive, Instance: e.instance.ID, Request: &RequestRecord{
			Attempt: r.Header.Get(HeaderAttempt), Group: r.Header.Get(HeaderGroup),
			Generation: fleet.Generation(generation), Organisation: r.Header.Get(HeaderOrganisation),
		}})
		next(w, r)
	}
}

// serveCompletion handles POST /v1/completions.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	c := &completion{
		attempt: r.Header.Get(HeaderAttempt), organisation: r.Header.Get(HeaderOrganisation),
		header: attemptHeaders(r.Header), started: make(chan struct{}),
	}
	if !readJSON(w, r, &c.request) {
		return
	}
	c.priority, _ = strconv.Atoi(r.Header.Get(HeaderPriority))
	ctx, cancel := context.WithCancelCause(r.Context())
	c.cancel = cancel
	defer cancel(nil)
	defer context.AfterFunc(e.ctx, func() { cancel(errors.New("engine stopped")) })()
	if status, reason := e.admit(c, r.Header); status != 0 {
		e.platform.events.add(Event{Kind: EventRefuse, Instance: e.instance.ID, Attempt: c.attempt, Fault: string(reason)})
		maps.Copy(w.Header(), c.header)
		writeNotRun(w, status, reason, "refused before the request was run")
		return
	}
	select {
	case <-c.started:
	case <-ctx.Done():
	}
	// This error stays in the record if the response ends in a panic that aborts
	// the connection.
	err := errConnectionClosed
	defer func() { e.finish(c, err) }()
	err = e.execute(ctx, w, c, e.faults.next())
	if err != nil && !errors.Is(err, errTruncated) {
		abortConnection()
	}
}

// admit queues the completion, or returns the status and the reason of a refusal.
// The status 0 means that it was admitted.
func (e *Engine) admit(c *completion, header http.Header) (int, verdict.Reason) {
	generation, _ := strconv.ParseUint(header.Get(HeaderGeneration), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireSteps()
	switch {
	case header.Get(HeaderGroup) != e.role.Group || fleet.Generation(generation) != e.role.Generation ||
		e.role.Group == "" || e.role.Rank != 0 || e.releasing:
		return http.StatusConflict, ReasonWrongGroup
	case e.leaving:
		return http.StatusServiceUnavailable, verdict.ReasonDraining
	case e.state != fleet.EngineReady || len(e.waiting) >= e.pool.MaxRunning:
		return http.StatusServiceUnavailable, verdict.ReasonOverloaded
	case c.attempt == "" || e.completions[c.attempt] != nil || !c.resumable():
		return http.StatusBadRequest, verdict.ReasonBadRequest
	}
	c.role = e.role
	c.cachedTokens = e.cache.use(c.request.Prompt)
	c.recordIndex = len(e.record.Requests)
	e.record.Requests = append(e.record.Requests, RequestRecord{
		Attempt: c.attempt, Group: e.role.Group, Generation: e.role.Generation,
		Organisation: c.organisation, Prompt: c.request.Prompt, Priority: c.priority,
		ResumeTokens: c.firstToken(), Begun: time.Now(),
	})
	begun := e.record.Requests[c.recordIndex]
	e.platform.events.add(Event{Kind: EventBegin, Instance: e.instance.ID, Request: &begun})
	e.completions[c.attempt] = c
	e.waiting = append(e.waiting, c)
	e.dispatch()
	return 0, ""
}

// dispatch starts queued completions, highest priority first, up to the pool's
// MaxRunning. e.mu must be held.
func (e *Engine) dispatch() {
	slices.SortStableFunc(e.waiting, func(a, b *completion) int { return b.priority - a.priority })
	for len(e.waiting) > 0 && e.executing < e.pool.MaxRunning {
		e.executing++
		close(e.waiting[0].started)
		e.waiting = e.waiting[1:]
	}
}

// finish records the end of a completion, removes it and starts the next one.
func (e *Engine) finish(c *completion, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := &e.record.Requests[c.recordIndex]
	record.Ended, record.Complete = time.Now(), err == nil
	if err != nil {
		record.Error = err.Error()
	}
	ended := *record
	e.platform.events.add(Event{Kind: EventEnd, Instance: e.instance.ID, Request: &ended})
	delete(e.completions, c.attempt)
	if i := slices.Index(e.waiting, c); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	} else {
		e.executing--
	}
	e.lastEnded = c
	e.dispatch()
	e.expireSteps()
}

// abort cancels all completions. e.mu must be held.
func (e *Engine) abort(reason string) {
	for _, c := range e.completions {
		c.cancel(errors.New(reason))
	}
}

// serveCancel handles DELETE /v1/attempts/{id}.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	c := e.completions[r.PathValue("id")]
	e.mu.Unlock()
	if c == nil {
		http.Error(w, "no such attempt runs", http.StatusNotFound)
		return
	}
	c.cancel(errors.New("cancelled"))
	w.WriteHeader(http.StatusNoContent)
}

// execute computes the output at the pool's speed and sends it, while the other
// members of the group take part in collective steps.
func (e *Engine) execute(ctx context.Context, w http.ResponseWriter, c *completion, d distortion) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if err := e.stepMembers(ctx, c, false); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer func() {
		cancel(nil)
		go func() { _ = e.stepMembers(e.ctx, c, true) }()
	}()
	go e.repeatSteps(ctx, c, cancel)
	point := e.faults.crashPoint(c.request.Prompt)
	if point == CrashAtStart {
		return e.crashUnder(c)
	}
	cw := e.newCompletionWriter(w, c, d)
	if point == CrashAfterHead || (point != "" && !c.request.Stream) {
		_ = http.NewResponseController(w).Flush()
		return e.crashUnder(c)
	}
	perToken := time.Duration(float64(time.Second) / e.pool.TokensPerSecond)
	prompt := max(0, PromptTokens(c.request.Prompt)-c.cachedTokens) / prefillTokensPerOutputToken
	due := time.Now().Add(time.Duration(prompt) * perToken)
	for i := c.firstToken(); i < cw.endToken; i++ {
		if point != "" && i >= (c.firstToken()+cw.endToken)/2 {
			cw.flush()
			return e.crashUnder(c)
		}
		due = due.Add(perToken)
		if left := time.Until(due); left > 0 {
			cw.flush()
			wait.For(ctx, left)
		}
		e.faults.waitWhileFrozen(ctx)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if c.request.Stream {
			cw.writeToken(i)
		}
	}
	if err := e.stepMembers(ctx, c, false); err != nil {
		return err
	}
	return cw.finish()
}

// crashUnder crashes the engine under a completion. Its role, weights, cache and running
// requests are lost.
func (e *Engine) crashUnder(c *completion) error {
	e.platform.events.add(Event{Kind: EventFault, Instance: e.instance.ID, Fault: "crash", Attempt: c.attempt})
	e.faults.crash()
	e.Restart()
	return errCrashed
}
