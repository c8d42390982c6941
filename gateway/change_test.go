package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/gateway"
	"github.com/rattanlanding/rattanlanding/limit"
)

// limiter adapts limit.Limiter to gateway.Limiter.
type limiter struct{ *limit.Limiter }

func (l limiter) Admit(ctx context.Context, organisation, service string, tokens, priority int) (gateway.Admission, error) {
	return l.Limiter.Admit(ctx, organisation, service, tokens, priority)
}

// changes is a gateway whose configuration, placement, evidence and confirmation change at
// random while requests are read, wait, run and stream.
type changes struct {
	*testEnv
	limiter *limit.Limiter
	// lost counts how often the evidence of each group was lost, and missing is true until it
	// is back.
	lost    [3]atomic.Int64
	missing [3]atomic.Bool
	// runs counts the runs of each plain request by its body.
	runs sync.Map
	// random serves the backend servers.
	random *rand.Rand

	lock     sync.Mutex
	problems []string
	answered map[int]int
}

func (c *changes) problem(format string, args ...any) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// draw returns a random number below n for a backend server.
func (c *changes) draw(n int) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.random.IntN(n)
}

// serveEngine serves one attempt: mostly whole with pauses, else broken at a random place.
func (c *changes) serveEngine(a attempt) {
	from, group := len(a.Resume), int(a.Group[1]-'0')
	begun, lost, missing := time.Now(), c.lost[group].Load(), c.missing[group].Load()
	switch c.draw(12) {
	case 0:
		a.w.Header().Set("Rattanlanding-Verdict", "not-run")
		a.w.WriteHeader(http.StatusServiceUnavailable)
	case 1:
		a.w.WriteHeader(http.StatusConflict)
	case 2:
		a.writeTokens(from, from+c.draw(a.MaxTokens+1))
		panic(http.ErrAbortHandler)
	case 3:
		events := a.events(from, from+a.MaxTokens) + endMarker
		writeUnframed(a.w, events[:c.draw(len(events))], c.draw(2) == 0)
	case 4:
		writeUnframed(a.w, a.events(from, from+a.MaxTokens)+endMarker, false)
	default:
		for i := from; i < from+a.MaxTokens; i++ {
			select {
			case <-time.After(time.Duration(c.draw(3)) * 40 * time.Millisecond):
			case <-a.ctx.Done():
				left, _ := time.ParseDuration(a.Deadline + "ms")
				if time.Since(begun) < left && !missing && c.lost[group].Load() == lost {
					c.problem("attempt at sound group %s was cut after %v", a.Group, time.Since(begun))
				}
				return
			}
			a.writeTokens(i, i+1)
		}
		a.writeEndMarker()
	}
}

// servePlain runs one plain request.
func (c *changes) servePlain(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	count, _ := c.runs.LoadOrStore(string(body), &atomic.Int64{})
	count.(*atomic.Int64).Add(1)
	time.Sleep(time.Duration(c.draw(3)) * 10 * time.Millisecond)
	switch c.draw(6) {
	case 0:
		panic(http.ErrAbortHandler)
	case 1:
		writeUnframed(w, "ran "+string(body), false)
	default:
		_, _ = io.WriteString(w, "ran "+string(body))
	}
}

// change publishes a random state.
func (c *changes) change(random *rand.Rand) {
	config := fleet.Configuration{Organisations: slices.Clone(c.config.Organisations)}
	for _, s := range c.config.Services {
		s.TimeoutMs = []int64{0, 400, 2000}[random.IntN(3)]
		if random.IntN(4) > 0 {
			config.Services = append(config.Services, s)
		}
	}
	for _, g := range c.config.Groups {
		if config.Service(g.Service) != nil && random.IntN(6) > 0 {
			config.Groups = append(config.Groups, g)
		}
	}
	organisation := &config.Organisations[0]
	switch random.IntN(8) {
	case 0:
		organisation.KeyHashes = config.Organisations[1].KeyHashes
	case 1:
		organisation.Services = []string{"desk"}
	case 2:
		organisation.TokensPerSecond = 10
	}
	placement := fleet.Placement{Groups: slices.Clone(c.placement.Groups)}
	evidence := map[string]blackboard.Observation{}
	for name, seen := range c.evidence {
		if random.IntN(10) > 0 {
			evidence[name] = seen
		}
	}
	for i := range placement.Groups {
		if random.IntN(4) == 0 {
			placement.Groups[i].Phase = fleet.PhaseWithdrawn
		}
		if _, found := evidence[placement.Groups[i].Name]; !found {
			c.lost[i].Add(1)
			c.missing[i].Store(true)
		}
	}
	serveUntil := time.Now().Add(time.Duration(random.IntN(10)) * 10 * time.Millisecond)
	c.board.Configuration.Publish(&config)
	c.board.Confirmation.Publish(&blackboard.Confirmation{ServeUntil: serveUntil})
	c.board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{"d": {Placement: placement}}})
	c.board.Evidence.Publish(&blackboard.Evidence{ByInstance: evidence})
	c.builder.Build()
	c.limiter.Update()
	for name := range evidence {
		if name[0] == 'g' {
			c.missing[name[1]-'0'].Store(false)
		}
	}
}

// send sends a random request and checks that it ends with a whole answer or a refusal.
func (c *changes) send(client *http.Client, random *rand.Rand, id string) {
	method, path, body, key := "POST", "/v1/completions", streamedRequest, ""
	switch random.IntN(6) {
	case 0:
		body = bufferedRequest
	case 1:
		method, path, body = "PUT", "/services/desk/x", id
	case 2:
		path, body = "/services/desk/x", id
	case 3:
		path, body, key = "/services/desk/charges", id, id
	}
	// A body in two parts leaves time for a change while it is read.
	pause := time.Duration(random.IntN(3)) * 5 * time.Millisecond
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, body[:1])
		time.Sleep(pause)
		_, _ = io.WriteString(writer, body[1:])
		_ = writer.Close()
	}()
	request, _ := http.NewRequest(method, c.url+path, reader)
	request.Header.Set("Authorization", "Bearer k1")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := client.Do(request)
	if err != nil {
		c.problem("%s %s %s: no answer: %v", id, method, path, err)
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.problem("%s %s %s: status %d is incomplete: %v", id, method, path, response.StatusCode, err)
		return
	}
	c.check(id, body, key, response, string(data))
}

// check checks one response.
func (c *changes) check(id, body, key string, response *http.Response, data string) {
	c.lock.Lock()
	c.answered[response.StatusCode]++
	c.lock.Unlock()
	outcome := response.Header.Get("Rattanlanding-Verdict")
	runs := int64(0)
	if count, found := c.runs.Load(id); found {
		runs = count.(*atomic.Int64).Load()
	}
	whole := response.StatusCode == http.StatusOK
	switch {
	case whole && body == streamedRequest:
		broken := strings.Contains(data, "event: error")
		whole = strings.HasPrefix(fullText, streamedText(data)) && broken != strings.HasSuffix(data, endMarker) &&
			(broken || streamedText(data) == fullText)
	case whole && body == bufferedRequest:
		whole = strings.Contains(data, `"text":"`+fullText+`"`)
	case whole:
		whole = data == "ran "+id
	default:
		whole = response.StatusCode >= 400 && outcome != "" && (outcome != "not-run" || runs == 0)
	}
	if !whole || (key != "" && runs > 1) {
		c.problem("%s: status %d, verdict %q, %d runs: %q", id, response.StatusCode, outcome, runs, data)
	}
}

var _ = Describe("Gateway whose state changes", func() {
	DescribeTable("ends each request with a whole answer or a refusal, and cuts no sound stream",
		func(seed uint64) {
			// Guards against requests that end without an answer beside a change of the
			// configuration (LOST), and against streams that are cut by one.
			const callers, requests = 8, 25
			c := &changes{testEnv: newTestEnv(), random: rand.New(rand.NewPCG(seed, 0)), answered: map[int]int{}}
			c.settings.PickWait, c.settings.ResumeWait = 30*time.Millisecond, 100*time.Millisecond
			c.settings.StallCheck, c.settings.CompletionTimeout = 20*time.Millisecond, 4*time.Second
			c.limiter = limit.NewLimiter(&c.board, limit.Config{}, metrics.NewRegistry())
			c.admitter = limiter{c.limiter}
			for range c.lost {
				c.addEngine(c.serveEngine)
			}
			for range 2 {
				c.addServer(c.servePlain)
			}
			c.start()
			ctx, stop := context.WithCancel(context.Background())
			var changing, calling sync.WaitGroup
			changing.Go(func() {
				random := rand.New(rand.NewPCG(seed, 1))
				for ctx.Err() == nil {
					c.change(random)
					time.Sleep(time.Duration(random.IntN(15)) * time.Millisecond)
				}
			})
			for caller := range callers {
				calling.Go(func() {
					random := rand.New(rand.NewPCG(seed, uint64(2+caller)))
					client := &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}
					defer client.CloseIdleConnections()
					for i := range requests {
						c.send(client, random, fmt.Sprintf("r%d-%d", caller, i))
					}
				})
			}
			calling.Wait()
			stop()
			changing.Wait()
			Expect(c.problems).To(BeEmpty())
			Expect(c.answered).To(And(HaveKey(200), HaveKey(503)))
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
	)
})
