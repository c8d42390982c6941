package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/wait"
)

const (
	// stepInterval is the time between a completion's collective steps.
	stepInterval = 250 * time.Millisecond
	// stepTimeout is the time without a response after which a collective step
	// fails.
	stepTimeout = time.Second
)

// Step is the body of POST /v1/steps, sent by rank 0 to every other member.
type Step struct {
	Group      string           `json:"group"`
	Generation fleet.Generation `json:"generation"`
	Rank       int              `json:"rank"`
	Attempt    string           `json:"attempt"`
	// Done ends the member's participation in the attempt.
	Done bool `json:"done,omitempty"`
}

// serveStep handles POST /v1/steps. It takes part in a collective step if the
// engine holds the role that the step names.
func (e *Engine) serveStep(w http.ResponseWriter, r *http.Request) {
	var step Step
	if !readJSON(w, r, &step) {
		return
	}
	if e.faults.failsSteps() || !e.joinStep(step) {
		http.Error(w, "no part in this group", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// joinStep records a step, or the end of an attempt's steps. It returns false if
// the engine does not hold the step's role or is not ready.
func (e *Engine) joinStep(step Step) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if step.Done {
		delete(e.activeSteps, step.Attempt)
		e.expireSteps()
		return true
	}
	e.expireSteps()
	if e.role.Group != step.Group || e.role.Generation != step.Generation || e.role.Rank != step.Rank ||
		e.state != fleet.EngineReady {
		return false
	}
	now := time.Now()
	e.activeSteps[step.Attempt] = now
	index, known := e.stepIndex[step.Attempt]
	if !known {
		index = len(e.record.Steps)
		e.stepIndex[step.Attempt] = index
		e.record.Steps = append(e.record.Steps, StepRecord{
			Attempt: step.Attempt, Group: step.Group, Generation: step.Generation, First: now,
		})
	}
	e.record.Steps[index].Last = now
	e.record.Steps[index].Steps++
	taken := e.record.Steps[index]
	e.platform.events.add(Event{Kind: EventStep, Instance: e.instance.ID, Step: &taken})
	return true
}

// repeatSteps repeats the collective step and cancels the completion when one
// fails.
func (e *Engine) repeatSteps(ctx context.Context, c *completion, cancel context.CancelCauseFunc) {
	for {
		wait.For(ctx, stepInterval)
		e.faults.waitWhileFrozen(ctx)
		if ctx.Err() != nil {
			return
		}
		if err := e.stepMembers(ctx, c, false); err != nil {
			cancel(err)
			return
		}
	}
}

// stepMembers sends a step to every other member of the completion's group.
func (e *Engine) stepMembers(ctx context.Context, c *completion, done bool) error {
	group, ctx := errgroup.WithContext(ctx)
	for rank, address := range c.role.Members {
		if rank == c.role.Rank {
			continue
		}
		group.Go(func() error {
			return e.sendStep(ctx, address, Step{
				Group: c.role.Group, Generation: c.role.Generation, Rank: rank,
				Attempt: c.attempt, Done: done,
			})
		})
	}
	return group.Wait()
}

func (e *Engine) sendStep(ctx context.Context, address string, step Step) error {
	body, err := json.Marshal(step)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/steps", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return fmt.Errorf("member %d: %w", step.Rank, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("member %d answered %d", step.Rank, response.StatusCode)
	}
	return nil
}
