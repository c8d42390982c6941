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
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/route"
)

const (
	resumeTokens = 64
	resumeKey    = "measure"
	resumePool   = "orders"
)

// resumeStream holds the planned losses of one stream and a record of its attempts.
type resumeStream struct {
	// cuts are the token positions at which the attempts are lost, one for each
	// attempt except the last.
	cuts []int
	// lossMode is the kind of loss: reset, short, half-event or pause.
	lossMode string
	// groups are the groups of its attempts, in order.
	groups []string
	// produced is the number of tokens that all attempts produced.
	produced int
}

// resumeTestbed is a gateway with two groups of one engine each and a plain service.
type resumeTestbed struct {
	board         blackboard.Board
	builder       *route.Builder
	claims        gateway.Claims
	gatewayServer *httptest.Server
	engines       [2]*httptest.Server
	plainServer   *httptest.Server
	prefill       time.Duration
	tokenTime     time.Duration
	// detectionTime is the time from a pause of an engine to the loss of its evidence.
	detectionTime time.Duration
	// buildMu guards the evidence and the builder.
	buildMu sync.Mutex
	// mu guards streams and executions.
	mu      sync.Mutex
	streams map[string]*resumeStream
	// executions counts the runs of the plain calls by idempotency key.
	executions map[string]int
}

func resumeGroupName(i int) string { return fmt.Sprintf("g%d", i) }

// newResumeTestbed starts the servers and the gateway.
func newResumeTestbed(claims gateway.Claims) *resumeTestbed {
	t := &resumeTestbed{claims: claims, streams: make(map[string]*resumeStream), executions: make(map[string]int)}
	for i := range t.engines {
		group := resumeGroupName(i)
		t.engines[i] = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { t.serveAttempt(group, rw, r) }))
	}
	t.plainServer = httptest.NewServer(http.HandlerFunc(t.serveOrder))
	t.publish()
	registry := metrics.NewRegistry()
	t.builder = route.NewBuilder(route.Config{Lifetime: time.Hour}, &t.board, registry)
	t.builder.Build()
	t.gatewayServer = httptest.NewServer(gateway.New(gateway.Config{RefreshAge: time.Hour}, gateway.Dependencies{Board: &t.board, Table: &t.builder.Table,
		Engines: backend.NewEngineClient(registry), Servers: backend.NewPlainClient(registry), Limiter: gateway.Unlimited{},
		Claims: claims, Refresher: gateway.Unlimited{}, Statuses: gateway.Unlimited{},
		Quarantine: quarantine.NewGuard(quarantine.Config{}, log.NewNopLogger(), metrics.NewRegistry()), Budget: retry.NewBudget(0, 0),
		Logger: log.NewNopLogger(), Registry: registry}).Handler())
	return t
}

func (t *resumeTestbed) close() {
	for _, s := range []*httptest.Server{t.gatewayServer, t.engines[0], t.engines[1], t.plainServer} {
		s.CloseClientConnections()
		s.Close()
	}
}

// hostPort returns the address of s without the scheme.
func hostPort(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// publish fills the board: one organisation, both groups, one plain server.
func (t *resumeTestbed) publish() {
	configuration := &fleet.Configuration{
		Services: []fleet.Service{{Name: "llm", Kind: fleet.KindModel},
			{Name: resumePool, Kind: fleet.KindPlain, Pool: resumePool, NonIdempotent: []string{"POST /"}}},
		Organisations: []fleet.Organisation{{Name: "o", KeyHashes: []string{hexHash(resumeKey)}}}}
	place := fleet.Placement{FabricDomain: "d", NextGeneration: 2}
	for i, engine := range t.engines {
		name := resumeGroupName(i)
		configuration.Groups = append(configuration.Groups, fleet.Group{Name: name, Service: "llm", Size: 1, FabricDomain: "d"})
		place.Groups = append(place.Groups, fleet.PlacedGroup{Name: name, Service: "llm", Generation: 1,
			Phase: fleet.PhaseServing, Members: []fleet.GroupMember{{Instance: name, Address: hostPort(engine)}}})
	}
	t.board.Configuration.Publish(configuration)
	t.board.Confirmation.Publish(&blackboard.Confirmation{ServeUntil: time.Now().Add(time.Hour)})
	t.board.Instances.Publish(&fleet.InstanceList{Instances: []fleet.Instance{{ID: resumePool, Pool: resumePool,
		Address: hostPort(t.plainServer), State: fleet.InstanceLive}}})
	t.board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{"d": {Placement: place}}})
	t.publishEvidence("")
}

// publishEvidence publishes evidence of every backend server except the lost group's.
func (t *resumeTestbed) publishEvidence(lostGroup string) {
	now := time.Now()
	evidence := &blackboard.Evidence{ByInstance: map[string]blackboard.Observation{
		resumePool: {ObservedAt: now, Report: fleet.Report{Instance: resumePool, State: fleet.EngineReady}}}}
	for i := range t.engines {
		if name := resumeGroupName(i); name != lostGroup {
			evidence.ByInstance[name] = blackboard.Observation{ObservedAt: now, Report: fleet.Report{Instance: name,
				Group: name, Generation: 1, Size: 1, Service: "llm", State: fleet.EngineReady}}
		}
	}
	t.board.Evidence.Publish(evidence)
}

// removeEvidence removes the evidence of a group and rebuilds the routing table.
func (t *resumeTestbed) removeEvidence(group string) {
	t.buildMu.Lock()
	defer t.buildMu.Unlock()
	t.publishEvidence(group)
	t.builder.Build()
}

// beginAttempt records an attempt and returns its stream and the token position at
// which the attempt is lost; -1 if it is not lost.
func (t *resumeTestbed) beginAttempt(prompt, group string) (s *resumeStream, cut int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, cut = t.streams[prompt], -1
	if s == nil {
		s = &resumeStream{}
		t.streams[prompt] = s
	}
	s.groups = append(s.groups, group)
	if len(s.cuts) > 0 {
		cut, s.cuts = s.cuts[0], s.cuts[1:]
	}
	return s, cut
}

// countToken counts a token that an engine produced for s.
func (t *resumeTestbed) countToken(s *resumeStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.produced++
}

// serveAttempt serves one attempt at a group: numbered tokens up to the loss.
func (t *resumeTestbed) serveAttempt(group string, rw http.ResponseWriter, r *http.Request) {
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
	s, cut := t.beginAttempt(body.Prompt, group)
	pause(r.Context(), t.prefill)
	end, flush := resumeTokens, http.NewResponseController(rw).Flush
	if cut >= 0 {
		end = cut
	}
	for i := len(body.Resume); i < end; i++ {
		if t.tokenTime > 0 {
			pause(r.Context(), t.tokenTime)
			_ = flush()
		}
		t.countToken(s)
		fmt.Fprintf(rw, "data: {\"position\":%d,\"choices\":[{\"text\":\"t%d \"}]}\n\n", i, i)
	}
	switch {
	case cut < 0:
		fmt.Fprint(rw, "data: [DONE]\n\n")
	case s.lossMode == "reset":
		_ = flush()
		panic(http.ErrAbortHandler)
	case s.lossMode == "half-event":
		fmt.Fprintf(rw, "data: {\"position\":%d,\"choi", cut)
	case s.lossMode == "pause":
		_ = flush()
		time.AfterFunc(t.detectionTime, func() { t.removeEvidence(group) })
		<-r.Context().Done()
	}
}

// serveOrder serves a call to the plain service.
func (t *resumeTestbed) serveOrder(rw http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.executions[r.Header.Get("Idempotency-Key")]++
	t.mu.Unlock()
	rw.Header().Set(backend.HeaderAttempt, r.Header.Get(backend.HeaderAttempt))
	fmt.Fprint(rw, "done")
}

// stream runs one completion with the given losses through the gateway. It returns an
// error for an answer with a lost or repeated token, and for two consecutive attempts
// at one group.
func (t *resumeTestbed) stream(ctx context.Context, prompt, lossMode string, cuts ...int) (*resumeStream, error) {
	plan := &resumeStream{lossMode: lossMode, cuts: cuts}
	t.mu.Lock()
	t.streams[prompt] = plan
	t.mu.Unlock()
	got, err := streamCompletion(ctx, t.gatewayServer.URL, prompt, nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		return plan, fmt.Errorf("stream %s, loss by %s after %v tokens: %w", prompt, lossMode, cuts, err)
	}
	if got != resumeExpectedText() {
		return plan, fmt.Errorf("stream %s, loss by %s after %v tokens: wrong answer %q", prompt, lossMode, cuts, got)
	}
	return plan, plan.check(len(cuts))
}

// check returns an error if the attempts do not match the number of losses.
func (s *resumeStream) check(losses int) error {
	if len(s.groups) != losses+1 {
		return fmt.Errorf("%d losses, but the attempts were at the groups %v", losses, s.groups)
	}
	for i := range losses {
		if s.groups[i] == s.groups[i+1] {
			return fmt.Errorf("the next attempt after a loss was at the same group: attempts at %v", s.groups)
		}
	}
	return nil
}

// resumeExpectedText returns the text of a complete answer.
func resumeExpectedText() string {
	var want strings.Builder
	for i := range resumeTokens {
		fmt.Fprintf(&want, "t%d ", i)
	}
	return want.String()
}

// streamCompletion streams one completion and returns its text, or an error for an
// answer without exactly one end marker.
func streamCompletion(ctx context.Context, url, prompt string, header map[string]string) (string, error) {
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
		return "", fmt.Errorf("completion does not have exactly one end marker: %s", data)
	}
	return streamText(data), nil
}

// streamText joins the texts of a stream's events.
func streamText(data []byte) string {
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

// runResume measures the effect of lost groups on streams and of a platform outage on
// requests.
func runResume(ctx context.Context, seed uint64, emit Emit) error {
	for _, run := range []func(context.Context, uint64, Emit) error{runResumeEachToken, runResumeRepeatedLosses, runResumeTimes, runResumePause, runPlatformDown} {
		if err := run(ctx, seed, emit); err != nil {
			return err
		}
	}
	return nil
}

// newResumeTestbedFakeClaims returns a testbed whose claims need no platform.
func newResumeTestbedFakeClaims() *resumeTestbed { return newResumeTestbed(&claim.Fake{}) }
