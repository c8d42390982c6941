package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/claim"
	"github.com/rattanlanding/rattanlanding/object"
)

const (
	// platformBefore is the first of three phases.
	platformBefore = 2 * time.Second
	// platformDown is the phase in which the platform is down.
	platformDown = 5 * time.Second
	// platformAfter is the last phase. It begins once the claims that wait during the
	// outage have been decided.
	platformAfter = 2 * time.Second
	// platformTick is the time between two arrivals.
	platformTick = 20 * time.Millisecond
)

// platformKinds are the kinds of requests that arrive at each tick.
var platformKinds = []string{"claimed call", "plain read", "completion"}

// platformOutcomes counts the requests of one kind in one phase.
type platformOutcomes struct {
	served, notRun, other int
	times                 []time.Duration
}

// platformLoad sends requests and counts their outcomes.
type platformLoad struct {
	testbed *resumeTestbed
	mu      sync.Mutex
	// refused holds the idempotency keys of the calls refused as not run.
	refused  []string
	outcomes map[string]*platformOutcomes
}

// runPlatformDown sends all kinds of requests before, during and after an outage of
// the platform.
func runPlatformDown(ctx context.Context, _ uint64, emit Emit) error {
	store := object.NewMemory()
	registry := claim.NewRegistry(store, claim.Config{}, log.NewNopLogger(), metrics.NewRegistry())
	defer registry.Close()
	l := &platformLoad{testbed: newResumeTestbed(registry), outcomes: make(map[string]*platformOutcomes)}
	defer l.testbed.close()
	for _, phase := range []struct {
		name  string
		lasts time.Duration
		down  bool
	}{{"before", platformBefore, false}, {"down", platformDown, true}, {"after", platformAfter, false}} {
		store.SetFaults(object.Faults{Unavailable: phase.down})
		if err := l.runPhase(ctx, phase.name, phase.lasts, phase.down); err != nil {
			return err
		}
	}
	if err := l.retryRefused(ctx); err != nil {
		return err
	}
	for _, phase := range []string{"before", "down", "after"} {
		for _, kind := range platformKinds {
			l.emit(phase, kind, emit)
		}
	}
	emit("gateway", "platform-down/refused calls that ran once when repeated", float64(len(l.refused)), "calls")
	return nil
}

// runPhase sends requests for the given time and waits for their answers. While the
// platform is down, the phase lasts until every request is decided.
func (l *platformLoad) runPhase(ctx context.Context, phase string, duration time.Duration, down bool) error {
	var all sync.WaitGroup
	for i := range int(duration / platformTick) {
		for _, kind := range platformKinds {
			all.Go(func() { l.send(ctx, phase, kind, fmt.Sprintf("%s-%s-%d", phase, kind, i)) })
		}
		pause(ctx, platformTick)
	}
	all.Wait()
	if served := l.outcomes[phase+kindSeparator+platformKinds[0]].served; down && served > 0 {
		return fmt.Errorf("%d claimed calls were served while the platform was down, want 0", served)
	}
	return ctx.Err()
}

const kindSeparator = "/"

// send sends one request and counts its outcome.
func (l *platformLoad) send(ctx context.Context, phase, kind, name string) {
	started := time.Now()
	reported, err := l.testbed.sendRequest(ctx, kind, name)
	l.mu.Lock()
	defer l.mu.Unlock()
	key := phase + kindSeparator + kind
	o := l.outcomes[key]
	if o == nil {
		o = &platformOutcomes{}
		l.outcomes[key] = o
	}
	o.times = append(o.times, time.Since(started))
	switch {
	case err != nil:
		o.other++
	case reported == "":
		o.served++
	case reported == "not-run":
		o.notRun++
		l.refused = append(l.refused, name)
	default:
		o.other++
	}
}

// sendRequest sends one request of a kind and returns the verdict of its refusal; empty
// for a complete answer.
func (t *resumeTestbed) sendRequest(ctx context.Context, kind, name string) (string, error) {
	if kind == "completion" {
		got, err := streamCompletion(ctx, t.gatewayServer.URL, name, nil)
		if err == nil && got != resumeExpectedText() {
			err = fmt.Errorf("completion %s has a wrong answer: %q", name, got)
		}
		return "", err
	}
	method := http.MethodGet
	if kind == "claimed call" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, t.gatewayServer.URL+"/services/"+resumePool+"/print", strings.NewReader(""))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+resumeKey)
	request.Header.Set("Idempotency-Key", name)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "", err
	}
	if response.StatusCode == http.StatusOK {
		return "", nil
	}
	return response.Header.Get("Rattanlanding-Verdict"), nil
}

// retryRefused sends every refused call again. It returns an error for a call that ran
// although it was refused as not run, or that ran twice.
func (l *platformLoad) retryRefused(ctx context.Context) error {
	for _, name := range l.refused {
		if ran := l.testbed.executionCount(name); ran > 0 {
			return fmt.Errorf("call %s was refused as not run but ran %d times", name, ran)
		}
		if reported, err := l.testbed.sendRequest(ctx, "claimed call", name); err != nil || reported != "" {
			return fmt.Errorf("retry of refused call %s: verdict %q, error %w", name, reported, err)
		}
		if ran := l.testbed.executionCount(name); ran != 1 {
			return fmt.Errorf("call %s was refused as not run, then retried, and ran %d times, want 1", name, ran)
		}
	}
	return nil
}

// executionCount returns how often the plain call with an idempotency key ran.
func (t *resumeTestbed) executionCount(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.executions[key]
}

func (l *platformLoad) emit(phase, kind string, emit Emit) {
	o := l.outcomes[phase+kindSeparator+kind]
	name, n := fmt.Sprintf("platform-%s/%s", phase, kind), float64(len(o.times))
	emit("gateway", name+" served", float64(o.served)/n, "of requests")
	emit("gateway", name+" refused as not run", float64(o.notRun)/n, "of requests")
	emit("gateway", name+" other outcomes", float64(o.other), "requests")
	slices.Sort(o.times)
	emit("gateway", name+" median time", float64(o.times[len(o.times)/2].Microseconds())/1e3, "ms")
}
