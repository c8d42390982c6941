package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/platform/platformtest"
)

// call is one request of a caller and its outcome.
type call struct {
	id, path, method, key, body, address string
	// node is the node at address.
	node           *node
	started, ended time.Time
	// status is the HTTP status, or 0 if there was no response.
	status int
	// complete reports whether the response body was read to its end.
	complete bool
	// engine and originRequest are the engine that produced the response and the ID
	// of the request that it belongs to, both from its headers.
	engine, originRequest string
	// events are the IDs of a stream's events in the order of their arrival.
	events []int
	// foreignEvent reports whether a stream contained an event of another request.
	foreignEvent bool
	err          error
}

// requestTimeout is the deadline that callers send with each request. They wait for half
// as long again, so that a late response is seen as such.
const requestTimeout = 4 * time.Second

// loadGenerator sends requests as callers do and records their outcomes.
type loadGenerator struct {
	// nodes are the nodes by their addresses for callers.
	nodes map[string]*node
	http  *http.Client

	mu    sync.Mutex
	calls []*call
	// addresses are those that the directory returned last.
	addresses []string
}

func newLoadGenerator(nodes []*node) *loadGenerator {
	g := &loadGenerator{nodes: map[string]*node{}, http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 8, DisableCompression: true,
	}}}
	for _, n := range nodes {
		g.nodes[n.settings.CallerAddress] = n
	}
	return g
}

// refreshAddresses resolves the addresses at any node, every second until ctx is
// done. While no node responds, the previous addresses stay in use.
func (g *loadGenerator) refreshAddresses(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range g.nodes {
			lookupCtx, cancel := context.WithTimeout(ctx, time.Second)
			list, err := platformtest.ResolveAddresses(lookupCtx, n.settings.DirectoryAddress)
			cancel()
			if err == nil && len(list) > 0 {
				g.mu.Lock()
				g.addresses = list
				g.mu.Unlock()
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// requestKinds are the paths and methods from which requests are drawn. Streams
// (/chat/) are twice as frequent as the others.
var requestKinds = []struct{ path, method string }{
	{"/chat/x", http.MethodPost}, {"/chat/x", http.MethodPost}, {"/pay/x", http.MethodPost}, {"/look/x", http.MethodGet},
}

// generate sends requests at random intervals until ctx is done, and waits for their
// responses. One request in 12 is abandoned early by its caller.
func (g *loadGenerator) generate(ctx context.Context, rng *rand.Rand, meanInterval time.Duration) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		kind := requestKinds[rng.IntN(len(requestKinds))]
		key := []string{"k1", "k2"}[rng.IntN(2)]
		disconnects := rng.IntN(12) == 0
		addressChoice := rng.IntN(1 << 16)
		requests.Go(func() {
			id := fmt.Sprintf("r%d", i)
			g.send(&call{id: id, path: kind.path, method: kind.method, key: key, body: "body of " + id}, addressChoice, disconnects)
		})
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(meanInterval))):
		}
	}
}

// send sends one request and records its outcome. If disconnects is true, the caller
// gives up after 60 ms.
func (g *loadGenerator) send(pending *call, addressChoice int, disconnects bool) {
	g.mu.Lock()
	if len(g.addresses) == 0 {
		g.mu.Unlock()
		return
	}
	pending.address = g.addresses[addressChoice%len(g.addresses)]
	pending.node, pending.started = g.nodes[pending.address], time.Now()
	g.calls = append(g.calls, pending)
	g.mu.Unlock()
	timeout := requestTimeout + requestTimeout/2
	if disconnects {
		timeout = 60 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c := *pending
	g.exchange(ctx, &c)
	c.ended = time.Now()
	if disconnects && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.err = errCallerDisconnected
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	*pending = c
}

// errCallerDisconnected means that the caller closed the connection early on purpose.
var errCallerDisconnected = errors.New("caller disconnected early on purpose")

// exchange sends the request and reads the response.
func (g *loadGenerator) exchange(ctx context.Context, c *call) {
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.address+c.path, strings.NewReader(c.body))
	if err != nil {
		c.err = err
		return
	}
	r.Host = "a.example"
	platformtest.SetRequestHeaders(r.Header, c.id, c.key, requestTimeout)
	response, err := g.http.Do(r)
	if err != nil {
		c.err = err
		return
	}
	defer response.Body.Close()
	c.status = response.StatusCode
	c.engine, c.originRequest = platformtest.ResponseOrigin(response.Header)
	if response.StatusCode == http.StatusOK && strings.HasPrefix(c.path, "/chat/") {
		c.err = c.readEvents(response.Body)
	} else {
		_, c.err = io.Copy(io.Discard, response.Body)
	}
	c.complete = c.err == nil
}

// readEvents reads a stream and records its events.
func (c *call) readEvents(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		if request, isData := platformtest.EventRequestID(scanner.Text()); isData && request != c.id {
			c.foreignEvent = true
		}
		text, ok := strings.CutPrefix(scanner.Text(), "id: ")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		c.events = append(c.events, n)
	}
	return scanner.Err()
}
