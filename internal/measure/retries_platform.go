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
	// The platform is down in the second of three parts. The last part begins
	// once claims that wait during the outage have been decided.
	platformBefore = 2 * time.Second
	platformDown   = 5 * time.Second
	platformAfter  = 2 * time.Second
	platformTick   = 20 * time.Millisecond
)

// platformKinds are the kinds of requests that arrive at each tick.
var platformKinds = []string{"claimed call", "plain read", "completion"}

// platformOutcomes counts the requests of one kind in one part.
type platformOutcomes struct {
	served, notRun, other int
	times                 []time.Duration
}

// platformLoad sends requests and counts their outcomes.
type platformLoad struct {
	world *resumeWorld
	mu    sync.Mutex
	// refused are the keys of the calls refused as not run.
	refused  []string
	outcomes map[string]*platformOutcomes
}

// runPlatformDown sends all kinds of requests while the platform is down.
func runPlatformDown(ctx context.Context, _ uint64, emit Emit) error {
	store := object.NewMemory()
	registry := claim.NewRegistry(store, claim.Config{}, log.NewNopLogger(), metrics.NewRegistry())
	defer registry.Close()
	l := &platformLoad{world: newResumeWorld(registry), outcomes: make(map[string]*platformOutcomes)}
	defer l.world.close()
	for _, part := range []struct {
		name  string
		lasts time.Duration
		down  bool
	}{{"before", platformBefore, false}, {"down", platformDown, true}, {"after", platformAfter, false}} {
		store.SetFaults(object.Faults{Unavailable: part.down})
		if err := l.part(ctx, part.name, part.lasts, part.down); err != nil {
			return err
		}
	}
	if err := l.repeat(ctx); err != nil {
		return err
	}
	for _, part := range []string{"before", "down", "after"} {
		for _, kind := range platformKinds {
			l.emit(part, kind, emit)
		}
	}
	emit("gateway", "platform-down/refused calls that ran once when repeated", float64(len(l.refused)), "calls")
	return nil
}

// part sends requests for a while and waits for their answers. While the platform
// is down, the part lasts until every request is decided.
func (l *platformLoad) part(ctx context.Context, part string, lasts time.Duration, down bool) error {
	var all sync.WaitGroup
	for i := range int(lasts / platformTick) {
		for _, kind := range platformKinds {
			all.Go(func() { l.send(ctx, part, kind, fmt.Sprintf("%s-%s-%d", part, kind, i)) })
		}
		pause(ctx, platformTick)
	}
	all.Wait()
	if served := l.outcomes[part+kindSeparator+platformKinds[0]].served; down && served > 0 {
		return fmt.Errorf("%d claimed calls were served without the platform", served)
	}
	return ctx.Err()
}

const kindSeparator = "/"

// send sends one request and counts its outcome.
func (l *platformLoad) send(ctx context.Context, part, kind, name string) {
	started := time.Now()
	verdict, err := l.world.ask(ctx, kind, name)
	l.mu.Lock()
	defer l.mu.Unlock()
	key := part + kindSeparator + kind
	o := l.outcomes[key]
	if o == nil {
		o = &platformOutcomes{}
		l.outcomes[key] = o
	}
	o.times = append(o.times, time.Since(started))
	switch {
	case err != nil:
		o.other++
	case verdict == "":
		o.served++
	case verdict == "not-run":
		o.notRun++
		l.refused = append(l.refused, name)
	default:
		o.other++
	}
}

// ask sends one request of a kind and returns the verdict of its refusal; empty
// for a whole answer.
func (w *resumeWorld) ask(ctx context.Context, kind, name string) (string, error) {
	if kind == "completion" {
		got, err := resumeOnce(ctx, w.front.URL, name, nil)
		if err == nil && got != resumeWant() {
			err = fmt.Errorf("answer is %q", got)
		}
		return "", err
	}
	method := http.MethodGet
	if kind == "claimed call" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, w.front.URL+"/services/"+resumePool+"/print", strings.NewReader(""))
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

// repeat sends every refused call again. A call that ran although it was refused
// as not run, or ran twice, is an error.
func (l *platformLoad) repeat(ctx context.Context) error {
	for _, name := range l.refused {
		if ran := l.world.runs(name); ran > 0 {
			return fmt.Errorf("call %s was refused as not run but ran %d times", name, ran)
		}
		if verdict, err := l.world.ask(ctx, "claimed call", name); err != nil || verdict != "" {
			return fmt.Errorf("repeat of call %s: verdict %q, %w", name, verdict, err)
		}
		if ran := l.world.runs(name); ran != 1 {
			return fmt.Errorf("call %s ran %d times", name, ran)
		}
	}
	return nil
}

func (w *resumeWorld) runs(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[key]
}

func (l *platformLoad) emit(part, kind string, emit Emit) {
	o := l.outcomes[part+kindSeparator+kind]
	name, n := fmt.Sprintf("platform-%s/%s", part, kind), float64(len(o.times))
	emit("gateway", name+" served", float64(o.served)/n, "of requests")
	emit("gateway", name+" refused as not run", float64(o.notRun)/n, "of requests")
	emit("gateway", name+" other outcomes", float64(o.other), "requests")
	slices.Sort(o.times)
	emit("gateway", name+" median time", float64(o.times[len(o.times)/2].Microseconds())/1e3, "ms")
}
