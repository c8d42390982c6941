package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/platform/platformtest"
)

const (
	// deadlyInterval is the time between two sendings of a deadly request.
	deadlyInterval = 300 * time.Millisecond
	// maxDeadlyCrashes is the number of engines that one deadly request may crash.
	maxDeadlyCrashes = 6
	// deadlySettleTime is the time after the third crash from which it crashes none.
	deadlySettleTime = 3 * time.Second
)

// deadlyCaller sends requests that crash engines: each again and again at any node, with the
// same path, key and body under new IDs. Their outcomes are kept apart from those of sound
// requests.
type deadlyCaller struct {
	*loadGenerator
	requests *platformtest.DeadlyRequests
	// markers are those of the requests so far.
	markers []string
	sending sync.WaitGroup
}

func newDeadlyCaller(requests *platformtest.DeadlyRequests, nodes []*node) *deadlyCaller {
	c := &deadlyCaller{loadGenerator: newLoadGenerator(nodes), requests: requests}
	for _, n := range nodes {
		c.addresses = append(c.addresses, n.settings.CallerAddress)
	}
	return c
}

// begin makes a request of the kind and with the crash point that a fault's target selects
// deadly, and sends it until end is called.
func (c *deadlyCaller) begin(f fault) (end func()) {
	points := []platformtest.CrashPoint{platformtest.CrashAtStart, platformtest.CrashAfterHead, platformtest.CrashAfterEvents}
	kind := requestKinds[f.target%len(requestKinds)]
	// The full stop keeps a marker from being the start of another one.
	marker := fmt.Sprintf("deadly-%d.", len(c.markers))
	c.markers = append(c.markers, marker)
	c.requests.Add(marker, points[f.target/len(requestKinds)%len(points)])
	ctx, cancel := context.WithCancel(context.Background())
	rng := newRandom(uint64(f.target))
	c.sending.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			request := &call{id: fmt.Sprint(marker, i), path: kind.path, method: kind.method, key: "k1", body: "body of " + marker}
			addressChoice := rng.IntN(1 << 16)
			c.sending.Go(func() { c.send(request, addressChoice, false) })
			select {
			case <-ctx.Done():
			case <-time.After(deadlyInterval):
			}
		}
	})
	return cancel
}

// finished returns all calls once they have ended.
func (c *deadlyCaller) finished() []*call {
	c.sending.Wait()
	return c.calls
}

// violations returns the violated limits of the engines that deadly requests crashed.
func (c *deadlyCaller) violations() (found []string) {
	for _, marker := range c.markers {
		found = append(found, checkCrashes(marker, c.requests.Crashes(marker))...)
	}
	return found
}

// checkCrashes checks the times at which a deadly request crashed engines.
func checkCrashes(marker string, crashes []time.Time) (found []string) {
	if len(crashes) > maxDeadlyCrashes {
		found = append(found, fmt.Sprintf("request %q crashed %d engines", marker, len(crashes)))
	}
	if len(crashes) < 3 {
		return found
	}
	last := crashes[len(crashes)-1]
	if late := last.Sub(crashes[2]); late > deadlySettleTime {
		found = append(found, fmt.Sprintf("request %q crashed an engine %s after the third crash", marker, late.Round(time.Millisecond)))
	}
	return found
}
