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

// call is one request of a caller and what became of it.
type call struct {
	id, path, key, address string
	node                   *node
	started, ended         time.Time
	// status is 0 without an answer.
	status int
	// whole tells that the answer came to its end.
	whole bool
	// engine and answers are the engine and the request that the answer names.
	engine, answers string
	// events are the numbers of the events of a stream, strange those of others.
	events  []int
	strange bool
	err     error
}

// patience is how long callers wait for an answer.
const patience = 4 * time.Second

// callers send requests and keep what became of them.
type callers struct {
	nodes map[string]*node
	http  *http.Client

	mu    sync.Mutex
	calls []*call
	// addresses are those that the directory named last.
	addresses []string
}

func newCallers(nodes []*node) *callers {
	c := &callers{nodes: map[string]*node{}, http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 8, DisableCompression: true,
	}}}
	for _, n := range nodes {
		c.nodes[n.settings.CallerAddress] = n
	}
	return c
}

// resolve asks any node for addresses, every second until ctx ends. Callers keep what
// they have while no node answers.
func (c *callers) resolve(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range c.nodes {
			asked, cancel := context.WithTimeout(ctx, time.Second)
			list, err := platformtest.ResolveAddresses(asked, n.settings.DirectoryAddress)
			cancel()
			if err == nil && len(list) > 0 {
				c.mu.Lock()
				c.addresses = list
				c.mu.Unlock()
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// kinds of requests, by path, with the method of each.
var paths = []struct{ path, method string }{
	{"/chat/x", http.MethodPost}, {"/chat/x", http.MethodPost}, {"/pay/x", http.MethodPost}, {"/look/x", http.MethodGet},
}

// load sends requests, each a time after the last one, until ctx ends; it waits for
// their answers.
func (c *callers) load(ctx context.Context, rng *rand.Rand, between time.Duration) {
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		kind := paths[rng.IntN(len(paths))]
		key := []string{"k1", "k2"}[rng.IntN(2)]
		leaves := rng.IntN(12) == 0
		pick := rng.IntN(1 << 16)
		all.Go(func() { c.send(fmt.Sprintf("r%d", i), kind.path, kind.method, key, pick, leaves) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(between))):
		}
	}
}

// send sends one request and reads its answer.
func (c *callers) send(id, path, method, key string, pick int, leaves bool) {
	c.mu.Lock()
	if len(c.addresses) == 0 {
		c.mu.Unlock()
		return
	}
	address := c.addresses[pick%len(c.addresses)]
	made := &call{id: id, path: path, key: key, address: address, node: c.nodes[address], started: time.Now()}
	c.calls = append(c.calls, made)
	c.mu.Unlock()
	limit := patience + patience/2
	if leaves {
		limit = 60 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	done := *made
	c.exchange(ctx, &done, method)
	done.ended = time.Now()
	if leaves && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		done.err = errLeft
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	*made = done
}

// errLeft means that the caller left early.
var errLeft = errors.New("the caller left")

func (c *callers) exchange(ctx context.Context, made *call, method string) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+made.address+made.path, strings.NewReader("body of "+made.id))
	if err != nil {
		made.err = err
		return
	}
	r.Host = "a.example"
	platformtest.SetRequestHeaders(r.Header, made.id, made.key, patience)
	answer, err := c.http.Do(r)
	if err != nil {
		made.err = err
		return
	}
	defer answer.Body.Close()
	made.status = answer.StatusCode
	made.engine, made.answers = platformtest.ResponseOrigin(answer.Header)
	if answer.StatusCode == http.StatusOK && strings.HasPrefix(made.path, "/chat/") {
		made.err = made.readEvents(answer.Body)
	} else {
		_, made.err = io.Copy(io.Discard, answer.Body)
	}
	made.whole = made.err == nil
}

// readEvents reads a stream and notes its events.
func (c *call) readEvents(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		if request, isData := platformtest.EventRequestID(scanner.Text()); isData && request != c.id {
			c.strange = true
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
