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
	// stepInterval is the time between a run's collective steps.
	stepInterval = 250 * time.Millisecond
	// stepTimeout is the time after which a collective step fails.
	stepTimeout = time.Second
)

// Step is the body of POST /v1/steps, sent by rank 0 to every other member.
type Step struct {
	Group      string           `json:"group"`
	Generation fleet.Generation `json:"generation"`
	Rank       int              `json:"rank"`
	Attempt    string           `json:"attempt"`
	// Done ends the member's part in the attempt.
	Done bool `json:"done,omitempty"`
}

// serveStep takes part in a collective step if the engine holds the role.
func (e *Engine) serveStep(w http.ResponseWriter, r *http.Request) {
	var step Step
	if !input(w, r, &step) {
		return
	}
	if e.faults.failsSteps() || !e.takePart(step) {
		http.Error(w, "no part in this group", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) takePart(step Step) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if step.Done {
		delete(e.steps, step.Attempt)
		e.settle()
		return true
	}
	e.settle()
	if e.role.Group != step.Group || e.role.Generation != step.Generation || e.role.Rank != step.Rank ||
		e.state != fleet.EngineReady {
		return false
	}
	now := time.Now()
	e.steps[step.Attempt] = now
	index, known := e.stepOf[step.Attempt]
	if !known {
		index = len(e.record.Steps)
		e.stepOf[step.Attempt] = index
		e.record.Steps = append(e.record.Steps, StepRecord{
			Attempt: step.Attempt, Group: step.Group, Generation: step.Generation, First: now,
		})
	}
	e.record.Steps[index].Last = now
	e.record.Steps[index].Steps++
	taken := e.record.Steps[index]
	e.registry.events.add(Event{Kind: EventStep, Instance: e.instance.ID, Step: &taken})
	return true
}

// keepStepping repeats the collective step and cancels the run when one fails.
func (e *Engine) keepStepping(ctx context.Context, one *run, cancel context.CancelCauseFunc) {
	for {
		wait.For(ctx, stepInterval)
		e.faults.awaitThaw(ctx)
		if ctx.Err() != nil {
			return
		}
		if err := e.stepAll(ctx, one, false); err != nil {
			cancel(err)
			return
		}
	}
}

// stepAll calls every other member of the run's group.
func (e *Engine) stepAll(ctx context.Context, one *run, done bool) error {
	group, ctx := errgroup.WithContext(ctx)
	for rank, address := range one.role.Members {
		if rank == one.role.Rank {
			continue
		}
		group.Go(func() error {
			return e.step(ctx, address, Step{
				Group: one.role.Group, Generation: one.role.Generation, Rank: rank,
				Attempt: one.attempt, Done: done,
			})
		})
	}
	return group.Wait()
}

func (e *Engine) step(ctx context.Context, address string, step Step) error {
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
