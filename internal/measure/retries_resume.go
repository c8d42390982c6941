package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
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
	resumePool   = "orders"
)

// resumeStream is the plan of one stream and what the engines did for it. Each
// attempt ends at the next of cuts, the last one not at all.
type resumeStream struct {
	cuts []int
	how  string
	// groups are the groups of its attempts, in order.
	groups   []string
	produced int
}

// resumeWorld is a gateway before two groups with a server each, and a plain
// service.
type resumeWorld struct {
	board     blackboard.Board
	builder   *route.Builder
	claims    gateway.Claims
	front     *httptest.Server
	engines   [2]*httptest.Server
	orders    *httptest.Server
	prefill   time.Duration
	tokenTime time.Duration
	// detect is the time from a pause of an engine to the loss of its evidence.
	detect  time.Duration
	build   sync.Mutex
	mu      sync.Mutex
	streams map[string]*resumeStream
	// ran counts the runs of the plain calls by idempotency key.
	ran map[string]int
}

func resumeGroup(i int) string { return fmt.Sprintf("g%d", i) }

// newResumeWorld starts the servers and the gateway.
func newResumeWorld(claims gateway.Claims) *resumeWorld {
	w := &resumeWorld{claims: claims, streams: make(map[string]*resumeStream), ran: make(map[string]int)}
	for i := range w.engines {
		group := resumeGroup(i)
		w.engines[i] = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.engine(group, rw, r) }))
	}
	w.orders = httptest.NewServer(http.HandlerFunc(w.order))
	w.publish()
	registry := metrics.NewRegistry()
	w.builder = route.NewBuilder(route.Config{Lifetime: time.Hour}, &w.board, registry)
	w.builder.Build()
	w.front = httptest.NewServer(gateway.New(gateway.Config{RefreshAge: time.Hour}, gateway.Dependencies{Board: &w.board, Table: &w.builder.Table,
		Engines: backend.NewEngineClient(registry), Servers: backend.NewPlainClient(registry), Limiter: gateway.Unlimited{},
		Claims: claims, Refresher: gateway.Unlimited{}, Budget: retry.NewBudget(0, 0),
		Logger: log.NewNopLogger(), Registry: registry}).Handler())
	return w
}

func (w *resumeWorld) close() {
	for _, s := range []*httptest.Server{w.front, w.engines[0], w.engines[1], w.orders} {
		s.CloseClientConnections()
		s.Close()
	}
}

func serverAddress(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// publish fills the board: one organisation, both groups, one plain server.
func (w *resumeWorld) publish() {
	configuration := &fleet.Configuration{
		Services: []fleet.Service{{Name: "llm", Kind: fleet.KindModel},
			{Name: resumePool, Kind: fleet.KindPlain, Pool: resumePool, NonIdempotent: []string{"POST /"}}},
		Organisations: []fleet.Organisation{{Name: "o", KeyHashes: []string{hexHash(resumeKey)}}}}
	place := fleet.Placement{FabricDomain: "d", NextGeneration: 2}
	for i, engine := range w.engines {
		name := resumeGroup(i)
		configuration.Groups = append(configuration.Groups, fleet.Group{Name: name, Service: "llm", Size: 1, FabricDomain: "d"})
		place.Groups = append(place.Groups, fleet.PlacedGroup{Name: name, Service: "llm", Generation: 1,
			Phase: fleet.PhaseServing, Members: []fleet.GroupMember{{Instance: name, Address: serverAddress(engine)}}})
	}
	w.board.Configuration.Publish(configuration)
	w.board.Confirmation.Publish(&blackboard.Confirmation{ServeUntil: time.Now().Add(time.Hour)})
	w.board.Instances.Publish(&fleet.InstanceList{Instances: []fleet.Instance{{ID: resumePool, Pool: resumePool,
		Address: serverAddress(w.orders), State: fleet.InstanceLive}}})
	w.board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{"d": {Placement: place}}})
	w.prove("")
}

// prove publishes evidence of every backend server but the lost group.
func (w *resumeWorld) prove(lost string) {
	now := time.Now()
	evidence := &blackboard.Evidence{ByInstance: map[string]blackboard.Observation{
		resumePool: {ObservedAt: now, Report: fleet.Report{Instance: resumePool, State: fleet.EngineReady}}}}
	for i := range w.engines {
		if name := resumeGroup(i); name != lost {
			evidence.ByInstance[name] = blackboard.Observation{ObservedAt: now, Report: fleet.Report{Instance: name,
				Group: name, Generation: 1, Size: 1, Service: "llm", State: fleet.EngineReady}}
		}
	}
	w.board.Evidence.Publish(evidence)
}

// lose takes the evidence of a group away.
func (w *resumeWorld) lose(group string) {
	w.build.Lock()
	defer w.build.Unlock()
	w.prove(group)
	w.builder.Build()
}

// begin notes an attempt and returns where and how it is lost; -1 for nowhere.
func (w *resumeWorld) begin(prompt, group string) (s *resumeStream, cut int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, cut = w.streams[prompt], -1
	if s == nil {
		s = &resumeStream{}
		w.streams[prompt] = s
	}
	s.groups = append(s.groups, group)
	if len(s.cuts) > 0 {
		cut, s.cuts = s.cuts[0], s.cuts[1:]
	}
	return s, cut
}

func (w *resumeWorld) produced(s *resumeStream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.produced++
}

// engine serves one attempt at a group: numbered tokens up to the loss.
func (w *resumeWorld) engine(group string, rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Prompt string   `json:"prompt"`
		Resume []string `json:"resume_tokens"`
	}
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&body) != nil {
		return
	}
	for _, name := range []string{backend.HeaderAttempt, backend.HeaderGroup, backend.HeaderGeneration, backend.HeaderOrganisation} {
		rw.Header().Set(name, r.Header.Get(name))
	}
	if r.Header.Get(backend.HeaderGroup) != group {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	s, cut := w.begin(body.Prompt, group)
	pause(r.Context(), w.prefill)
	end, flush := resumeTokens, http.NewResponseController(rw).Flush
	if cut >= 0 {
		end = cut
	}
	for i := len(body.Resume); i < end; i++ {
		if w.tokenTime > 0 {
			pause(r.Context(), w.tokenTime)
			_ = flush()
		}
		w.produced(s)
		fmt.Fprintf(rw, "data: {\"position\":%d,\"choices\":[{\"text\":\"t%d \"}]}\n\n", i, i)
	}
	switch {
	case cut < 0:
		fmt.Fprint(rw, "data: [DONE]\n\n")
	case s.how == "reset":
		_ = flush()
		panic(http.ErrAbortHandler)
	case s.how == "half-event":
		fmt.Fprintf(rw, "data: {\"position\":%d,\"choi", cut)
	case s.how == "pause":
		_ = flush()
		time.AfterFunc(w.detect, func() { w.lose(group) })
		<-r.Context().Done()
	}
}

// order serves the plain service.
func (w *resumeWorld) order(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	w.ran[r.Header.Get("Idempotency-Key")]++
	w.mu.Unlock()
	rw.Header().Set(backend.HeaderAttempt, r.Header.Get(backend.HeaderAttempt))
	fmt.Fprint(rw, "done")
}

// stream plans and streams one completion through the gateway. An answer with a
// lost or repeated token, or two attempts in a row at one group, is an error.
func (w *resumeWorld) stream(ctx context.Context, prompt, how string, cuts ...int) (*resumeStream, error) {
	plan := &resumeStream{how: how, cuts: cuts}
	w.mu.Lock()
	w.streams[prompt] = plan
	w.mu.Unlock()
	got, err := resumeOnce(ctx, w.front.URL, prompt, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		return plan, fmt.Errorf("loss by %s after %v tokens: %w", how, cuts, err)
	}
	if got != resumeWant() {
		return plan, fmt.Errorf("loss by %s after %v tokens: answer is %q", how, cuts, got)
	}
	return plan, plan.check(len(cuts))
}

// check compares the attempts with the number of losses.
func (s *resumeStream) check(losses int) error {
	if len(s.groups) != losses+1 {
		return fmt.Errorf("%d losses led to attempts at %v", losses, s.groups)
	}
	for i := range losses {
		if s.groups[i] == s.groups[i+1] {
			return fmt.Errorf("the stream stayed with a lost group: %v", s.groups)
		}
	}
	return nil
}

func resumeWant() string {
	var want strings.Builder
	for i := range resumeTokens {
		fmt.Fprintf(&want, "t%d ", i)
	}
	return want.String()
}

// resumeOnce streams one completion and returns its text, or an error for an
// answer without exactly one end marker.
func resumeOnce(ctx context.Context, url, prompt string, header map[string]string) (string, error) {
	body := fmt.Sprintf(`{"model":"llm","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, resumeTokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+resumeKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
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
	return resumeText(data), nil
}

// resumeText joins the texts of a stream's events.
func resumeText(data []byte) string {
	var text strings.Builder
	for _, line := range strings.Split(string(data), "\n") {
		var event struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &event) == nil && len(event.Choices) == 1 {
			text.WriteString(event.Choices[0].Text)
		}
	}
	return text.String()
}

// runResume measures what losses of groups cost streams.
func runResume(ctx context.Context, seed uint64, emit Emit) error {
	for _, run := range []func(context.Context, uint64, Emit) error{runResumeOnce, runResumeOften, runResumeTimes, runResumePause, runPlatformDown} {
		if err := run(ctx, seed, emit); err != nil {
			return err
		}
	}
	return nil
}

func newPlainResumeWorld() *resumeWorld { return newResumeWorld(&claim.Fake{}) }
