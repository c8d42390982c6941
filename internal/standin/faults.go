package standin

import (
	"cmp"
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/wait"
)

// BackendFaults is the body of POST /control/faults at an engine or a plain
// server. It replaces all faults; the zero value ends them. The int fields are the
// numbers of responses that the fault still affects.
type BackendFaults struct {
	// FreezeMs is the time for which all responses and running streams pause.
	FreezeMs int64 `json:"freezeMs,omitempty"`
	// FailSteps makes an engine refuse to take part in collective steps.
	FailSteps bool `json:"failSteps,omitempty"`
	// DelayMs is the delay before each request is handled.
	DelayMs int64 `json:"delayMs,omitempty"`
	// Cross sends the headers and the body of another attempt.
	Cross int `json:"cross,omitempty"`
	// CrossBody sends the attempt's own headers with the body of another attempt.
	CrossBody int `json:"crossBody,omitempty"`
	// Double sends the whole response body twice.
	Double int `json:"double,omitempty"`
	// DoubleEvents sends each event of a stream twice.
	DoubleEvents int `json:"doubleEvents,omitempty"`
	// Truncate sends half of the response: a stream ends without its end marker,
	// any other body before its Content-Length.
	Truncate int `json:"truncate,omitempty"`
	// Lose runs the request and closes the connection without a response.
	Lose int `json:"lose,omitempty"`
	// Unframed sends a response with neither a Content-Length nor chunks, which ends with
	// its connection.
	Unframed int `json:"unframed,omitempty"`
	// Early sends the head of a plain server's response before the body of the request
	// is read.
	Early bool `json:"early,omitempty"`
	// DeadlyMarker crashes an engine or a server under each request whose body contains
	// it, at CrashPoint; empty means none. It starts again after RestartMs.
	DeadlyMarker string     `json:"deadlyMarker,omitempty"`
	CrashPoint   CrashPoint `json:"crashPoint,omitempty"`
	RestartMs    int64      `json:"restartMs,omitempty"`
}

// CrashPoint is the point of a response at which a server crashes.
type CrashPoint string

// Points of a response.
const (
	// CrashAtStart is before the first byte; it is the default.
	CrashAtStart CrashPoint = "start"
	// CrashAfterHead is after the status and the headers.
	CrashAfterHead CrashPoint = "head"
	// CrashAfterEvents is after half of the events of a stream. For any other response it
	// is CrashAfterHead.
	CrashAfterEvents CrashPoint = "events"
)

// distortion is the set of faults that change one response.
type distortion struct {
	cross, crossBody, double, doubleEvents, truncate, lose, unframed bool
}

// faultState holds the injected faults of one engine or plain server.
type faultState struct {
	mu     sync.Mutex
	faults BackendFaults
	// frozenUntil is the end of the current freeze, or a time in the past.
	frozenUntil time.Time
	// downUntil is when a crashed server starts again, or a time in the past.
	downUntil time.Time
}

func (f *faultState) set(next BackendFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = next
	f.frozenUntil = time.Now().Add(time.Duration(next.FreezeMs) * time.Millisecond)
}

// serveSet handles POST /control/faults.
func (f *faultState) serveSet(w http.ResponseWriter, r *http.Request) {
	var next BackendFaults
	if readJSON(w, r, &next) {
		f.set(next)
		w.WriteHeader(http.StatusNoContent)
	}
}

// waitWhileFrozen returns once the server is not frozen or ctx is done.
func (f *faultState) waitWhileFrozen(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		left := time.Until(f.frozenUntil)
		f.mu.Unlock()
		if left <= 0 {
			return
		}
		// The sleep is short so that a fault that ends early takes effect soon.
		wait.For(ctx, min(left, 20*time.Millisecond))
	}
}

// withDelay wraps a handler with the freeze, the crash and the delay. A request whose sender
// gave up is still handled afterwards, as a paused process would do.
func (f *faultState) withDelay(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.waitWhileFrozen(context.Background())
		if f.isDown() {
			abortConnection()
		}
		f.mu.Lock()
		delay := time.Duration(f.faults.DelayMs) * time.Millisecond
		f.mu.Unlock()
		if delay > 0 {
			wait.For(context.Background(), delay)
		}
		next(w, r)
	}
}

// isDown reports whether the server has crashed and not started again.
func (f *faultState) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.downUntil)
}

// crashPoint returns the point at which a request crashes the server, or an empty one if it
// doesn't.
func (f *faultState) crashPoint(body string) CrashPoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.DeadlyMarker == "" || !strings.Contains(body, f.faults.DeadlyMarker) {
		return ""
	}
	return cmp.Or(f.faults.CrashPoint, CrashAtStart)
}

// crash makes the server unreachable until it starts again.
func (f *faultState) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.downUntil = time.Now().Add(time.Duration(f.faults.RestartMs) * time.Millisecond)
}

func (f *faultState) answersEarly() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.Early
}

func (f *faultState) failsSteps() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.FailSteps
}

// next chooses the fault of the next response, if any, and decrements its count.
// Each response has at most one fault: the one with the highest remaining count,
// so that no fault hides another one that is active at the same time.
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
		{&f.faults.DoubleEvents, &d.doubleEvents}, {&f.faults.Truncate, &d.truncate}, {&f.faults.Lose, &d.lose}, {&f.faults.Unframed, &d.unframed},
	} {
		if *choice.count > *most {
			most, holds = choice.count, choice.holds
		}
	}
	*most--
	*holds = true
	return d
}
