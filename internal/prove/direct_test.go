package prove

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// directClient is an HTTP client that never retries, because it opens a connection
// for every request. A request whose connection failed was not sent.
var directClient = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
}}

// sendCall makes one call through one node, without the caller library, and
// records it. The call is cancelled after timeout.
func (c *cluster) sendCall(client, node int, organisation, key, body string, timeout time.Duration) Operation {
	o := Operation{
		Kind: OpCall, Client: client, Organisation: organisation, Node: c.callerAddress(node),
		Key: key, Body: body, Start: time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	answer, err := c.exchange(ctx, &o)
	o.End, o.OK, o.Answer = time.Now(), err == nil, answer
	if err != nil {
		e := verdict.Of(err)
		o.Verdict, o.Reason, o.Error = e.Verdict, e.Reason, e.Error()
	}
	c.recorder.AddOperation(o)
	return o
}

// exchange sends the call o and returns its complete answer.
func (c *cluster) exchange(ctx context.Context, o *Operation) (string, error) {
	d := c.spec.deployment
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+o.Node+"/services/"+d.plainService+d.path, strings.NewReader(o.Body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+organisationKey(o.Organisation))
	if o.Key != "" {
		request.Header.Set("Idempotency-Key", o.Key)
	}
	response, err := directClient.Do(request)
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return "", verdict.New(verdict.NotRun, verdict.ReasonNoServer, "could not connect to the node").WithCause(err)
	}
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	if refused, ok := verdict.ParseBody(data); ok && response.Header.Get(verdict.Header) != "" {
		return "", refused
	}
	return string(data), nil
}

// directCalls starts clients that make calls through randomly chosen nodes until
// ctx ends. Every third call has no idempotency key and is sent once. If repeats is
// positive, a call with a key is sent by one sender or by two concurrent ones, each
// of which repeats it through other nodes, whatever the outcome.
func (w *workload) directCalls(ctx context.Context, clients, repeats int) {
	for id := range clients {
		w.group.Go(func() {
			random := w.random(2000 + id)
			organisations := w.cluster.spec.deployment.organisations
			organisation := organisations[id%len(organisations)]
			for n := 0; ctx.Err() == nil; n++ {
				body := fmt.Sprintf(`{"client":%d,"call":%d}`, 2000+id, n)
				if n%3 == 2 {
					w.cluster.sendCall(id, random.IntN(w.cluster.spec.nodes), organisation, "", body, w.drawTimeout(random))
				} else {
					w.sendRepeatedly(ctx, id, organisation, fmt.Sprintf("direct-%d-%d", id, n), body, random, repeats)
				}
				pause(ctx, w.pause)
			}
		})
	}
}

// drawTimeout returns a random timeout: a quarter of the callers give up early.
func (w *workload) drawTimeout(random *rand.Rand) time.Duration {
	if random.IntN(4) == 0 {
		return between(random, [2]time.Duration{50 * time.Millisecond, time.Second})
	}
	return 8 * time.Second
}

// sendRepeatedly sends a call with an idempotency key from one or two senders, and
// repeats it.
func (w *workload) sendRepeatedly(ctx context.Context, id int, organisation, key, body string, random *rand.Rand, repeats int) {
	senders := 1
	if repeats > 0 {
		senders += random.IntN(2)
	}
	var group sync.WaitGroup
	for range senders {
		choices := rand.New(rand.NewPCG(random.Uint64(), 0))
		group.Go(func() {
			node := choices.IntN(w.cluster.spec.nodes)
			for range 1 + repeats {
				w.cluster.sendCall(id, node, organisation, key, body, w.drawTimeout(choices))
				node = (node + 1 + choices.IntN(w.cluster.spec.nodes-1)) % w.cluster.spec.nodes
				pause(ctx, between(choices, [2]time.Duration{0, 300 * time.Millisecond}))
			}
		})
	}
	group.Wait()
}

// fetchReport returns the report of the engine or plain server at the address.
func (c *cluster) fetchReport(address string) (fleet.Report, error) {
	var report fleet.Report
	path := "/v1/status"
	if strings.HasPrefix(address, c.addressBase+".20.") {
		path = "/health"
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return report, err
	}
	response, err := directClient.Do(request)
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	return report, json.NewDecoder(response.Body).Decode(&report)
}
