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

// nodeLoad sends requests to every node directly, so that each node is under load
// during every fault. Callers that choose nodes from the address list would use
// only a few of them.
type nodeLoad struct {
	cluster *cluster
	seed    uint64
	// clients is the number of clients per node.
	clients int
	// maxTokens limits the output of completions.
	maxTokens int
	// plainCalls makes every second request a call to the plain service.
	plainCalls bool
	// pause is the wait between a client's requests.
	pause time.Duration
	group sync.WaitGroup
}

// requestTimeout limits one request, so that a suspended node does not block its
// clients for the rest of the run.
const requestTimeout = 4 * time.Second

// start starts the clients, which send requests until ctx ends.
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
				if l.plainCalls && n%2 == 1 {
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
				l.cluster.recorder.AddOperation(o)
				pause(ctx, l.pause)
			}
		})
	}
}

// complete requests a completion that is not streamed and sets o.Text.
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
	var completion struct {
		Choices []struct{ Text string }
	}
	if err := json.Unmarshal(answer, &completion); err != nil {
		return err
	}
	for _, choice := range completion.Choices {
		o.Text += choice.Text
	}
	return nil
}

// call makes an idempotent call, which the node handles without the platform, and
// sets o.Answer.
func (l *nodeLoad) call(client *http.Client, o *Operation) error {
	answer, err := l.send(client, o, http.MethodGet, "/services/"+l.cluster.spec.deployment.plainService+"/free", nil)
	o.Answer = string(answer)
	return err
}

// send sends one request to o.Node and returns the body of the response. It returns
// an error if the response is a refusal or its status is not 200.
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
		return nil, fmt.Errorf("unexpected HTTP status %d", response.StatusCode)
	}
	return answer, nil
}

// wait blocks until every client has finished.
func (l *nodeLoad) wait() { l.group.Wait() }
