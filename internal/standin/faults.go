package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/wait"
)

// BackendFaults is the body of POST /control/faults at an engine or a plain
// server. It replaces all faults; the zero value ends them. Counts name how
// many of the next answers are affected.
type BackendFaults struct {
	// FreezeMs stops all answers and running streams for a time.
	FreezeMs int64 `json:"freezeMs,omitempty"`
	// FailSteps refuses the engine's part in collective steps.
	FailSteps bool `json:"failSteps,omitempty"`
	// DelayMs is added before each answer.
	DelayMs int64 `json:"delayMs,omitempty"`
	// Cross answers with the headers and the body of another attempt.
	Cross int `json:"cross,omitempty"`
	// CrossBody answers with the own headers and the body of another attempt.
	CrossBody int `json:"crossBody,omitempty"`
	// Double sends the whole answer twice.
	Double int `json:"double,omitempty"`
	// DoubleEvents sends each event of a stream twice.
	DoubleEvents int `json:"doubleEvents,omitempty"`
	// Truncate sends half of the answer: a stream ends without its end marker,
	// another answer before its announced length.
	Truncate int `json:"truncate,omitempty"`
	// Lose runs the request and closes the connection instead of an answer.
	Lose int `json:"lose,omitempty"`
}

// distortion is what happens to one answer.
type distortion struct {
	cross, crossBody, double, doubleEvents, truncate, lose bool
}

// faultState holds the faults of one backend server.
type faultState struct {
	mu     sync.Mutex
	faults BackendFaults
	thaw   time.Time
}

func (f *faultState) set(next BackendFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = next
	f.thaw = time.Now().Add(time.Duration(next.FreezeMs) * time.Millisecond)
}

// serveSet handles POST /control/faults.
func (f *faultState) serveSet(w http.ResponseWriter, r *http.Request) {
	var next BackendFaults
	if input(w, r, &next) {
		f.set(next)
		w.WriteHeader(http.StatusNoContent)
	}
}

// awaitThaw returns when the server is not frozen.
func (f *faultState) awaitThaw(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		left := time.Until(f.thaw)
		f.mu.Unlock()
		if left <= 0 {
			return
		}
		// A short sleep lets an end of the fault take effect soon.
		wait.For(ctx, min(left, 20*time.Millisecond))
	}
}

// slowed wraps a handler with freeze and delay. A request whose sender gave up
// is still handled afterwards, as by a process that was paused.
func (f *faultState) slowed(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.awaitThaw(context.Background())
		f.mu.Lock()
		delay := time.Duration(f.faults.DelayMs) * time.Millisecond
		f.mu.Unlock()
		if delay > 0 {
			wait.For(context.Background(), delay)
		}
		next(w, r)
	}
}

func (f *faultState) failsSteps() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.FailSteps
}

// next chooses the distortion of an answer, if any, and uses up one of its
// count. Each answer has one, that with the most left, so that no fault hides
// another one that lasts at the same time.
func (f *faultState) next() (d distortion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var none int
	most, holds := &none, new(bool)
	for _, choice := range []struct {
		count *int
		holds *bool
	}{
		{&f.faults.Cross, &d.cross}, {&f.faults.CrossBody, &d.crossBody}, {&f.faults.Double, &d.double},
		{&f.faults.DoubleEvents, &d.doubleEvents}, {&f.faults.Truncate, &d.truncate}, {&f.faults.Lose, &d.lose},
	} {
		if *choice.count > *most {
			most, holds = choice.count, choice.holds
		}
	}
	*most--
	*holds = true
	return d
}
