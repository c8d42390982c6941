package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// The load of large bodies.
const (
	// bodyBytes is the size of a large body, and bodySendTime the time in which a caller
	// sends it, in bodyParts parts.
	bodyBytes    = 4_000_000
	bodySendTime = 4 * time.Second
	bodyParts    = 80
	// bodyCallers is the usual number of callers with large bodies.
	bodyCallers = 56
	// smallCallers is the number of callers with small requests, and smallPause the time
	// between two of them.
	smallCallers = 20
	smallPause   = 20 * time.Millisecond
	// bodiesTime is the time of one case.
	bodiesTime = 10 * time.Second
	// bodyTimeout is the time that a caller waits for a response, its retries included.
	bodyTimeout  = 8 * time.Second
	bodyAttempts = 3
	// smallQuantile is the quantile of the latency of small requests that is compared.
	smallQuantile = 0.95
)

// bodies measures the memory of a node on a machine with some megabytes that receives large
// bodies, and what they do to small requests.
func bodies(mb int64) Measurement {
	return Measurement{Name: fmt.Sprintf("bodies-%d", mb), Run: func(ctx context.Context, seed uint64, emit Emit) error {
		alone := time.Duration(0)
		for _, load := range []float64{0, 1, 1.7, 3} {
			result, err := runBodies(ctx, mb*1e6, int(load*bodyCallers+0.5), seed)
			if err != nil {
				return err
			}
			policy, name := fmt.Sprintf("%d MB", mb), fmt.Sprintf("%.1f of the usual callers, ", load)
			emit(policy, name+"most resident memory", float64(result.peak)/float64(mb*1e6), "of the limit")
			emit(policy, name+"small requests served", result.small.served(), "of requests")
			latency := result.small.latency()
			if load == 0 {
				alone = latency
				emit(policy, name+"latency of small requests p95", latency.Seconds()*1000, "ms")
				continue
			}
			emit(policy, name+"large requests served", result.large.served(), "of requests")
			emit(policy, name+"large requests served each second", float64(len(result.large.latencies))/bodiesTime.Seconds(), "requests/s")
			emit(policy, name+"latency of small requests p95", float64(latency)/float64(alone), "of that alone")
		}
		return nil
	}}
}

// tally counts the requests of one kind.
type tally struct {
	mu        sync.Mutex
	requests  int
	latencies []time.Duration
}

func (t *tally) add(latency time.Duration, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	if served {
		t.latencies = append(t.latencies, latency)
	}
}

// served returns the share of requests that were served.
func (t *tally) served() float64 { return float64(len(t.latencies)) / float64(max(t.requests, 1)) }

// latency returns the smallQuantile of the latencies.
func (t *tally) latency() time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	slices.Sort(t.latencies)
	return t.latencies[int(float64(len(t.latencies)-1)*smallQuantile)]
}

// bodiesResult is the result of one case.
type bodiesResult struct {
	// peak is the most resident memory of the node in bytes.
	peak         int64
	small, large tally
}

// runBodies runs one case.
func runBodies(ctx context.Context, memoryBytes int64, callers int, seed uint64) (*bodiesResult, error) {
	testbed, err := newBodiesTestbed(ctx, memoryBytes)
	if testbed != nil {
		defer testbed.close()
	}
	if err != nil {
		return nil, err
	}
	result := &bodiesResult{}
	end := time.Now().Add(bodiesTime)
	var group sync.WaitGroup
	for range smallCallers {
		group.Go(func() {
			c := bodiesCaller{testbed: testbed}
			defer c.close()
			for ; time.Now().Before(end); time.Sleep(smallPause) {
				started := time.Now()
				served := c.request(1<<10, 1, 0, end.Add(bodyTimeout))
				result.small.add(time.Since(started), served)
			}
		})
	}
	for i := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			time.Sleep(time.Duration(random.Int64N(int64(bodySendTime))))
			c := bodiesCaller{testbed: testbed}
			defer c.close()
			for time.Now().Before(end) {
				started := time.Now()
				served := c.request(bodyBytes, bodyParts, bodySendTime/bodyParts, started.Add(bodyTimeout))
				result.large.add(time.Since(started), served)
			}
		})
	}
	group.Wait()
	result.peak, err = testbed.peak()
	return result, err
}
