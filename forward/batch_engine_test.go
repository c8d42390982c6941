package forward

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
)

// batchEngine is a stand-in for an engine with continuous batching: it works in passes, in which
// it reads the prompts of requests that have got a slot, and then writes an event of each response
// whose prompt it has read.
type batchEngine struct {
	profile *catalog.EngineProfile
	factor  float64
	wake    chan struct{}

	mu               sync.Mutex
	waiting, running []*batchRequest
}

// batchRequest is a request at a batchEngine.
type batchRequest struct {
	prompt, events, priority int
	unread, written          int
	// wrote is called after each event.
	wrote func(events int)
	// left is true if the caller has disconnected.
	left bool
}

// acceptTime is a time that no profile states.
const acceptTime = 60 * time.Millisecond

// defaultPriority is the priority of a request without one.
const defaultPriority = 5

func newBatchEngine(p *catalog.EngineProfile, factor float64) *batchEngine {
	return &batchEngine{profile: p, factor: factor, wake: make(chan struct{}, 1)}
}

// add adds a request after the time that the engine takes to accept it.
func (e *batchEngine) add(r *batchRequest) {
	time.Sleep(time.Duration(float64(acceptTime) * e.factor))
	e.mu.Lock()
	r.unread = r.prompt
	if r.priority < 0 {
		r.priority = defaultPriority
	}
	e.waiting = append(e.waiting, r)
	slices.SortStableFunc(e.waiting, func(a, b *batchRequest) int { return cmp.Compare(a.priority, b.priority) })
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *batchEngine) leave(r *batchRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.left = true
}

// run works in passes until the context ends.
func (e *batchEngine) run(ctx context.Context) {
	for {
		duration, writers := e.begin()
		if duration == 0 {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		time.Sleep(duration)
		e.end(writers)
	}
}

// begin starts a pass and returns its duration and the requests that write in it.
func (e *batchEngine) begin() (time.Duration, []*batchRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	gone := func(r *batchRequest) bool { return r.left || r.written >= r.events }
	e.waiting, e.running = slices.DeleteFunc(e.waiting, gone), slices.DeleteFunc(e.running, gone)
	for len(e.waiting) > 0 && len(e.running) < e.profile.Slots {
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	p := e.profile
	budget, read, pairs := p.StepsPerEvent*p.PrefillChunk, 0, 0.0
	for _, r := range e.running {
		part := min(r.unread, budget-read)
		begun := float64(r.prompt - r.unread)
		pairs += float64(part) * (begun + float64(part)/2) / 1e6
		r.unread -= part
		read += part
	}
	var writers []*batchRequest
	context := 0.0
	for _, r := range e.running {
		if r.unread == 0 {
			writers = append(writers, r)
			context += float64(r.prompt+r.written*p.StepsPerEvent) / 1000
		}
	}
	duration := float64(read)/p.PrefillRate*float64(time.Second) + pairs*float64(p.PrefillTimePerPairs)
	if len(writers) > 0 {
		duration += float64(p.StepsPerEvent) * (float64(p.StepTime) + float64(len(writers))*float64(p.StepTimePerRequest) + context*float64(p.StepTimePerContext))
	}
	return time.Duration(duration * e.factor), writers
}

// end ends a pass.
func (e *batchEngine) end(writers []*batchRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range writers {
		r.written++
		if !r.left {
			r.wrote(r.written)
		}
	}
}

func quantileOf(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)))]
}
