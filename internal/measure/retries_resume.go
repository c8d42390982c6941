package measure

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/claim"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/gateway"
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/route"
)

const (
	resumeTokens = 64
	resumeKey    = "measure"
)

// resumeEngine streams numbered tokens and fails once, after the tokens before
// cut. It counts what all its attempts produced.
type resumeEngine struct {
	cut      int
	how      string
	failed   bool
	produced int
}

func (e *resumeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Resume []string `json:"resume_tokens"`
	}
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&body) != nil {
		return
	}
	for _, name := range []string{backend.HeaderAttempt, backend.HeaderGroup, backend.HeaderGeneration, backend.HeaderOrganisation} {
		w.Header().Set(name, r.Header.Get(name))
	}
	end := resumeTokens
	fails := !e.failed
	if fails {
		e.failed, end = true, e.cut
	}
	for i := len(body.Resume); i < end; i++ {
		e.produced++
		fmt.Fprintf(w, "data: {\"position\":%d,\"choices\":[{\"text\":\"t%d \"}]}\n\n", i, i)
	}
	switch {
	case !fails:
		fmt.Fprint(w, "data: [DONE]\n\n")
	case e.how == "reset":
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case e.how == "half-event":
		fmt.Fprintf(w, "data: {\"position\":%d,\"choi", e.cut)
	}
}

// resumeGateway returns the callers' handler of a gateway with two groups whose
// rank 0 is at address.
func resumeGateway(address string) http.Handler {
	var board blackboard.Board
	sum := sha256.Sum256([]byte(resumeKey))
	configuration := &fleet.Configuration{Services: []fleet.Service{{Name: "llm", Kind: fleet.KindModel}},
		Organisations: []fleet.Organisation{{Name: "o", KeyHashes: []string{hex.EncodeToString(sum[:])}}}}
	place := fleet.Placement{FabricDomain: "d", NextGeneration: 2}
	evidence := &blackboard.Evidence{ByInstance: make(map[string]blackboard.Observation)}
	for _, name := range []string{"g0", "g1"} {
		configuration.Groups = append(configuration.Groups, fleet.Group{Name: name, Service: "llm", Size: 1, FabricDomain: "d"})
		place.Groups = append(place.Groups, fleet.PlacedGroup{Name: name, Service: "llm", Generation: 1,
			Phase: fleet.PhaseServing, Members: []fleet.GroupMember{{Instance: name, Address: address}}})
		evidence.ByInstance[name] = blackboard.Observation{ObservedAt: time.Now(), Report: fleet.Report{Instance: name,
			Group: name, Generation: 1, Size: 1, Service: "llm", State: fleet.EngineReady}}
	}
	board.Configuration.Publish(configuration)
	board.Confirmation.Publish(&blackboard.Confirmation{ServeUntil: time.Now().Add(time.Hour)})
	board.Instances.Publish(&fleet.InstanceList{})
	board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{"d": {Placement: place}}})
	board.Evidence.Publish(evidence)
	registry := metrics.NewRegistry()
	builder := route.NewBuilder(route.Config{Lifetime: time.Hour}, &board, registry)
	builder.Build()
	return gateway.New(gateway.Config{RefreshAge: time.Hour}, gateway.Parts{Board: &board, Table: &builder.Table,
		Engines: backend.NewEngines(registry), Servers: backend.NewPlain(registry), Limiter: gateway.Unlimited{},
		Claims: &claim.Fake{}, Refresher: gateway.Unlimited{}, Budget: retry.NewBudget(0, 0),
		Logger: log.NewNopLogger(), Registry: registry}).Handler()
}

// runResume loses the group at every token of a stream through the gateway and
// compares the answer with the expected one. An answer with a lost or repeated
// token is an error.
func runResume(ctx context.Context, emit Emit) error {
	engine := &resumeEngine{}
	engines := httptest.NewServer(engine)
	defer engines.Close()
	front := httptest.NewServer(resumeGateway(strings.TrimPrefix(engines.URL, "http://")))
	defer front.Close()
	want := new(strings.Builder)
	for i := range resumeTokens {
		fmt.Fprintf(want, "t%d ", i)
	}
	for _, how := range []string{"reset", "short", "half-event"} {
		losses, produced, restarted := 0, 0, 0
		for cut := range resumeTokens + 1 {
			*engine = resumeEngine{cut: cut, how: how}
			got, err := resumeOnce(ctx, front.URL)
			if err != nil {
				return err
			}
			if got != want.String() {
				return fmt.Errorf("loss by %s after %d tokens: answer is %q", how, cut, got)
			}
			losses++
			produced += engine.produced - resumeTokens
			restarted += cut
		}
		emit("resume", "loss-"+how+"/whole-answers", float64(losses), "streams")
		emit("resume", "loss-"+how+"/wasted", float64(produced), "tokens")
		emit("restart", "loss-"+how+"/wasted", float64(restarted), "tokens, computed")
	}
	return nil
}

// resumeOnce streams one completion and returns its text, or an error for an
// answer without exactly one end marker.
func resumeOnce(ctx context.Context, url string) (string, error) {
	body := fmt.Sprintf(`{"model":"llm","prompt":"p","max_tokens":%d,"stream":true}`, resumeTokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+resumeKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	if bytes.Count(data, []byte("[DONE]")) != 1 {
		return "", fmt.Errorf("answer without its end marker: %s", data)
	}
	var text strings.Builder
	for _, line := range strings.Split(string(data), "\n") {
		var event struct {
			Choices []resumeText `json:"choices"`
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &event) == nil && len(event.Choices) == 1 {
			text.WriteString(event.Choices[0].Text)
		}
	}
	return text.String(), nil
}

// resumeText is the text of one event.
type resumeText struct {
	Text string `json:"text"`
}
