package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/caller"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// workload is a set of concurrent clients that use the caller library. The random
// choices of each client depend only on the seed.
type workload struct {
	cluster *cluster
	seed    uint64
	// maxAttempts is the maximum number of attempts that the caller library makes
	// per request; 0 means 1.
	maxAttempts int
	// maxTokens limits the output of completions.
	maxTokens int
	// pause is the wait between a client's requests.
	pause time.Duration

	group sync.WaitGroup
}

// random returns the random generator of one client.
func (w *workload) random(client int) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed, uint64(client)+1))
}

// client returns a caller of an organisation with all nodes as seeds.
func (w *workload) client(organisation string) *caller.Client {
	return caller.New(caller.Config{
		Seeds: w.cluster.seeds(), Key: organisationKey(organisation), Attempts: max(w.maxAttempts, 1),
	})
}

// completions starts clients that send completions, streamed or not, until ctx ends.
// A request in progress at that time is finished.
func (w *workload) completions(ctx context.Context, clients int) {
	for id := range clients {
		w.group.Go(func() {
			random := w.random(id)
			organisations := w.cluster.spec.deployment.organisations
			organisation := organisations[id%len(organisations)]
			client := w.client(organisation)
			defer client.Close()
			for n := 0; ctx.Err() == nil; n++ {
				w.completion(client, organisation, id, n, random)
				pause(ctx, w.pause)
			}
		})
	}
}

// completion requests one completion and records it.
func (w *workload) completion(client *caller.Client, organisation string, id, n int, random *rand.Rand) {
	o := Operation{
		Kind: OpCompletion, Client: id, Organisation: organisation,
		Prompt:    fmt.Sprintf("prompt %d of client %d for %s", n, id, organisation),
		MaxTokens: 1 + random.IntN(max(w.maxTokens, 1)), Start: time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	text, err := client.Complete(ctx, caller.Completion{
		Model: w.cluster.spec.deployment.model, Prompt: o.Prompt, MaxTokens: o.MaxTokens, Stream: random.IntN(2) == 0,
	}, nil)
	o.End, o.Text = time.Now(), text
	w.finish(&o, err)
}

// calls starts clients that make non-idempotent calls with an idempotency key. A
// call that got no answer is repeated with the same key up to repeats times, as by
// a caller that needs the outcome. One in three answered calls is repeated too.
func (w *workload) calls(ctx context.Context, clients, repeats int) {
	for id := range clients {
		w.group.Go(func() {
			random := w.random(1000 + id)
			organisations := w.cluster.spec.deployment.organisations
			organisation := organisations[id%len(organisations)]
			client := w.client(organisation)
			defer client.Close()
			for n := 0; ctx.Err() == nil; n++ {
				key := fmt.Sprintf("key-%d-%d", id, n)
				body := fmt.Sprintf(`{"client":%d,"call":%d}`, id, n)
				for range repeats + 1 {
					failed := w.call(client, organisation, id, key, body)
					if !failed && random.IntN(3) > 0 {
						break
					}
					pause(ctx, w.pause)
				}
				pause(ctx, w.pause)
			}
		})
	}
}

// call makes one call, records it and reports whether it failed.
func (w *workload) call(client *caller.Client, organisation string, id int, key, body string) bool {
	o := Operation{
		Kind: OpCall, Client: id, Organisation: organisation, Key: key, Body: body, Start: time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	answer, err := client.Do(ctx, caller.Call{
		Service: w.cluster.spec.deployment.plainService, Method: http.MethodPost, Path: w.cluster.spec.deployment.path,
		IdempotencyKey: key, ContentType: "application/json", Body: []byte(body),
	})
	o.End = time.Now()
	if answer != nil {
		o.Answer = string(answer.Body)
	}
	w.finish(&o, err)
	return err != nil
}

// finish records an operation's outcome.
func (w *workload) finish(o *Operation, err error) {
	o.OK = err == nil
	if err != nil {
		e := verdict.Of(err)
		o.Verdict, o.Reason, o.Error = e.Verdict, e.Reason, e.Error()
	}
	w.cluster.recorder.AddOperation(*o)
}

// wait blocks until every client has finished.
func (w *workload) wait() { w.group.Wait() }

// pause blocks until d has passed or ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
