package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/platform/platformtest"
)

// deadlyInterval is the time between two sendings of a deadly request.
const deadlyInterval = 300 * time.Millisecond

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
