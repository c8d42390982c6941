package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/verdict"
)

// nodeLoad sends requests to every node itself, so that each one meets every
// fault under load; callers that ask for addresses would keep to a few nodes.
type nodeLoad struct {
	cluster *cluster
	seed    uint64
	// clients is the number of clients a node.
	clients   int
	maxTokens int
	// plain makes every second request a call to the plain service.
	plain bool
	pause time.Duration
	group sync.WaitGroup
}

// requestTimeout bounds one request, so that a frozen node does not stop its
// clients for the rest of the run.
const requestTimeout = 4 * time.Second

// start sends requests until ctx ends.
func (l *nodeLoad) start(ctx context.Context) {
	for id := range l.clients * l.cluster.spec.nodes {
		l.group.Go(func() {
			random := rand.New(rand.NewPCG(l.seed, uint64(id)+100))
			client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			organisations := l.cluster.spec.deployment.organisations
			for n := 0; ctx.Err() == nil; n++ {
				o := Operation{
					Kind: OpCompletion, Client: id, Organisation: organisations[id%len(organisations)],
					Node:      l.cluster.callerAddress(id % l.cluster.spec.nodes),
					Prompt:    fmt.Sprintf("direct %d of client %d", n, id),
					MaxTokens: 1 + random.IntN(l.maxTokens), Start: time.Now(),
				}
				var err error
				if l.plain && n%2 == 1 {
					o.Kind = OpCall
					err = l.call(client, &o)
				} else {
					err = l.complete(client, &o)
				}
				o.End, o.OK = time.Now(), err == nil
				if err != nil {
					e := verdict.Of(err)
					o.Verdict, o.Reason, o.Error = e.Verdict, e.Reason, e.Error()
				}
				l.cluster.recorder.Operation(o)
				pause(ctx, l.pause)
			}
		})
	}
}

// complete asks for a whole completion.
func (l *nodeLoad) complete(client *http.Client, o *Operation) error {
	body, err := json.Marshal(map[string]any{
		"model": l.cluster.spec.deployment.model, "prompt": o.Prompt, "max_tokens": o.MaxTokens,
	})
	if err != nil {
		return err
	}
	answer, err := l.send(client, o, http.MethodPost, "/v1/completions", body)
	if err != nil {
		return err
	}
	var whole struct {
		Choices []struct{ Text string }
	}
	if err := json.Unmarshal(answer, &whole); err != nil {
		return err
	}
	for _, choice := range whole.Choices {
		o.Text += choice.Text
	}
	return nil
}

// call makes a call that may be repeated, so that it needs no platform.
func (l *nodeLoad) call(client *http.Client, o *Operation) error {
	answer, err := l.send(client, o, http.MethodGet, "/services/"+l.cluster.spec.deployment.plain+"/free", nil)
	o.Answer = string(answer)
	return err
}

func (l *nodeLoad) send(client *http.Client, o *Operation, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, "http://"+o.Node+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+organisationKey(o.Organisation))
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if refused, ok := verdict.ParseBody(answer); ok {
		return nil, refused
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return answer, nil
}

// wait blocks until every client has finished.
func (l *nodeLoad) wait() { l.group.Wait() }
