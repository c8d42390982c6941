package entry

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rattanlanding/rattanlanding/platform/platformtest"
)

var (
	changesSeeds = flag.Int("changes.seeds", 2, "number of seeds of TestEachRequestIsAnsweredWhateverChanges")
	changesSeed  = flag.Uint64("changes.seed", 1, "first seed of TestEachRequestIsAnsweredWhateverChanges")
)

const (
	changesCallers = 24
	// changesTime is how long callers send requests.
	changesTime = 1500 * time.Millisecond
	// answerSlack is how long after the caller's deadline its answer may come.
	answerSlack = 5 * time.Second
)

// errNodeStopped is returned if the node doesn't accept connections because it stops.
var errNodeStopped = errors.New("the node has stopped")

// changesCaller sends one request after the other, most of them on a kept connection.
type changesCaller struct {
	node   *changesNode
	name   string
	random *rand.Rand
	conn   net.Conn
	reader *bufio.Reader
	// kept is true if the connection has carried a request.
	kept bool
	// results counts the requests by their result.
	results map[string]int
	failed  []string
}

// changesRequest is a request in one of the ways in which callers send them.
type changesRequest struct {
	id, method, path string
	how              manner
	length           int
	chunked          bool
	// pause is the time between the halves of the body.
	pause, timeout time.Duration
}

func (c *changesCaller) pick(i int) changesRequest {
	r := changesRequest{id: fmt.Sprintf("%s-%03d", c.name, i), method: http.MethodPost, how: pickManner(c.random), chunked: c.random.IntN(2) == 0,
		path: []string{"/safe/x", "/unsafe/x", "/stream/x", "/stream-once/x"}[c.random.IntN(4)], timeout: 5 * time.Second,
		length: []int{1, 2000, 30_000, 300_000}[c.random.IntN(4)], pause: []time.Duration{0, 0, 30 * time.Millisecond}[c.random.IntN(3)]}
	if c.random.IntN(3) == 0 {
		r.method, r.length, r.chunked = http.MethodGet, 0, false
	}
	return r
}

// pickManner returns a random manner; those that keep a server from requests for a while are
// rarer.
func pickManner(random *rand.Rand) manner {
	how := manners[random.IntN(len(manners))]
	if (how == limiting || how == leaving || how == busy) && random.IntN(4) > 0 {
		return withLength
	}
	return how
}

func (c *changesCaller) run(end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		if c.random.IntN(5) == 0 {
			c.hangUp()
		}
		r := c.pick(i)
		sentAt := time.Now()
		result, err := c.exchange(r)
		if errors.Is(err, errNodeStopped) {
			return
		}
		if err != nil {
			arrived, whole := c.node.progress(r.id)
			result = c.judge(r, result, arrived, whole, time.Since(sentAt))
			if result == "" {
				c.failed = append(c.failed, fmt.Sprintf("%+v kept=%t whole=%t after=%s: %v\n%s", r, c.kept, whole, time.Since(sentAt), err, c.node.logOf(r.id)))
			}
			c.hangUp()
		}
		c.results[result]++
		time.Sleep(time.Duration(c.random.Int64N(int64(60 * time.Millisecond))))
	}
	c.hangUp()
}

// judge returns why a request may end without a complete answer; empty if it may not.
func (c *changesCaller) judge(r changesRequest, result string, arrived, whole bool, elapsed time.Duration) string {
	switch {
	case !arrived && c.kept:
		return "crossed the end of the connection"
	case arrived && !whole:
		return "not read whole"
	case result == "begun" && (r.how == cutting || r.how == breaking):
		return "broken off by the server"
	case result == "begun" && elapsed >= minRouteTimeout:
		return "ended at the timeout"
	}
	return ""
}

func (c *changesCaller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.kept = nil, false
}

// exchange sends a request and reads its answer. It returns the status, or "begun" with an
// error if the answer isn't complete.
func (c *changesCaller) exchange(r changesRequest) (string, error) {
	if c.conn == nil {
		conn, err := c.node.dial()
		if err != nil && c.node.stopping.Load() {
			return "", errNodeStopped
		}
		if err != nil {
			return "", err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if err := c.conn.SetDeadline(time.Now().Add(r.timeout + answerSlack)); err != nil {
		return "", err
	}
	sent := make(chan error, 1)
	conn := c.conn
	go func() { sent <- r.send(conn) }()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	if err == nil {
		err = r.check(response, string(body))
	}
	if err != nil {
		return "begun", err
	}
	if err := <-sent; err != nil || response.Close {
		c.hangUp()
	} else {
		c.kept = true
	}
	return fmt.Sprint(response.StatusCode), nil
}

func (r changesRequest) send(conn net.Conn) error {
	header := http.Header{mannerHeader: {string(r.how)}}
	platformtest.SetRequestHeaders(header, r.id, changesKey, r.timeout)
	platformtest.SetPrompt(header, changesPart, r.id)
	switch {
	case r.chunked:
		header.Set("Transfer-Encoding", "chunked")
	case r.length > 0:
		header.Set("Content-Length", strconv.Itoa(r.length))
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: h\r\n", r.method, r.path)
	if err := header.Write(&head); err != nil {
		return err
	}
	half := strings.Repeat("x", r.length/2)
	rest := strings.Repeat("x", r.length-r.length/2)
	if r.chunked {
		half, rest = chunk(half), chunk(rest)+"0\r\n\r\n"
	}
	if _, err := io.WriteString(conn, head.String()+"\r\n"+half); err != nil || r.length == 0 {
		return err
	}
	time.Sleep(r.pause)
	_, err := io.WriteString(conn, rest)
	return err
}

// chunk returns a chunk of a body; none for no bytes.
func chunk(data string) string {
	if data == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
}

// check returns an error if an answer isn't the complete one to the request, or no refusal.
func (r changesRequest) check(response *http.Response, body string) error {
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusUnauthorized, http.StatusRequestEntityTooLarge, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
		http.StatusTooManyRequests:
		return nil
	default:
		return fmt.Errorf("status %d", response.StatusCode)
	}
	expected := r.id
	if strings.HasPrefix(r.path, "/stream") {
		expected = ""
		for i := range streamEvents {
			expected += fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, r.id)
		}
	}
	if body != expected {
		return errors.New("not the whole answer: " + body)
	}
	return nil
}

// Guards against requests that were read whole and end with neither an answer nor a refusal
// while the configuration, the limits of connections, the instance list or quarantines change
// at any point of their way.
func TestEachRequestIsAnsweredWhateverChanges(t *testing.T) {
	for i := range uint64(*changesSeeds) {
		seed := *changesSeed + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			node, stop := startChangesNode(t, seed)
			defer stop()
			callWhileItChanges(t, node, seed, time.Now().Add(changesTime))
		})
	}
}

// Guards against requests that were read whole and end with neither an answer nor a refusal
// because the node was told to stop while the configuration and its limits change.
func TestEachRequestIsAnsweredWhateverChangesDuringAStop(t *testing.T) {
	for i := range uint64(*changesSeeds) {
		seed := *changesSeed + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			node, stop := startChangesNode(t, seed)
			defer stop()
			var stopped sync.WaitGroup
			stopped.Go(func() {
				time.Sleep(changesTime / 3)
				node.leave()
			})
			callWhileItChanges(t, node, seed, time.Now().Add(2*changesStopTime))
			stopped.Wait()
		})
	}
}

// callWhileItChanges sends requests of many callers until a time, and reports those that
// were lost.
func callWhileItChanges(t *testing.T, node *changesNode, seed uint64, end time.Time) {
	var all sync.WaitGroup
	callers := make([]*changesCaller, changesCallers)
	for i := range callers {
		callers[i] = &changesCaller{node: node, name: fmt.Sprintf("request-%02d", i), random: rand.New(rand.NewPCG(seed, uint64(i)+1)), results: map[string]int{}}
		all.Go(func() { callers[i].run(end) })
	}
	all.Wait()
	results := map[string]int{}
	for _, c := range callers {
		for result, count := range c.results {
			results[result] += count
		}
		for _, failure := range c.failed {
			t.Error(failure)
		}
	}
	t.Log(results)
}
