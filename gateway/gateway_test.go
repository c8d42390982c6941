package gateway_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/claim"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/gateway"
	"github.com/rattanlanding/rattanlanding/memory"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/route"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// testEnv is a gateway under test with its backend servers.
type testEnv struct {
	board     blackboard.Board
	config    fleet.Configuration
	instances fleet.InstanceList
	placement fleet.Placement
	evidence  map[string]blackboard.Observation
	builder   *route.Builder
	claims    claim.Fake
	settings  gateway.Config
	refresher gateway.Refresher
	statuses  gateway.StatusSource
	admitter  gateway.Limiter
	guard     *quarantine.Guard
	memory    *memory.Budget
	gateway   *gateway.Gateway
	url       string

	mu          sync.Mutex
	attempts    []attempt
	cancelPaths []string
}

// attempt is a completion request as an engine received it. Resume holds the tokens that
// were already delivered.
type attempt struct {
	Group     string   `json:"-"`
	ID        string   `json:"-"`
	MaxTokens int      `json:"max_tokens"`
	Resume    []string `json:"resume_tokens"`
	Extra     string   `json:"extra"`
	Deadline  string   `json:"-"`
	w         http.ResponseWriter
	ctx       context.Context
}

func newTestEnv() *testEnv {
	e := &testEnv{evidence: make(map[string]blackboard.Observation), refresher: gateway.Unlimited{}, statuses: gateway.Unlimited{}, admitter: gateway.Unlimited{}}
	e.settings = gateway.Config{RefreshAge: time.Hour, PickWait: time.Millisecond, ResumeWait: time.Millisecond,
		Groups: &route.RoundRobin{}, Servers: &route.RoundRobin{}}
	hash := func(key string) []string {
		sum := sha256.Sum256([]byte(key))
		return []string{hex.EncodeToString(sum[:])}
	}
	e.config.Services = []fleet.Service{{Name: "llm", Kind: fleet.KindModel},
		{Name: "desk", Kind: fleet.KindPlain, Pool: "desk", NonIdempotent: []string{"POST /charges"}}}
	e.config.Organisations = []fleet.Organisation{{Name: "o1", KeyHashes: hash("k1")},
		{Name: "o2", KeyHashes: hash("k2"), Services: []string{"other"}}, {Name: "o3", KeyHashes: hash("k3")}}
	e.builder = route.NewBuilder(route.Config{Lifetime: time.Hour}, &e.board, metrics.NewRegistry())
	e.guard = quarantine.NewGuard(quarantine.Config{}, log.NewNopLogger(), metrics.NewRegistry())
	return e
}

// receivedAttempts returns the attempts that reached engines.
func (e *testEnv) receivedAttempts() []attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.attempts)
}

// addEngine adds a group of one engine, which handles each attempt with serve, and returns its
// server.
func (e *testEnv) addEngine(serve func(a attempt)) *httptest.Server {
	name := fmt.Sprintf("g%d", len(e.placement.Groups))
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.cancelPaths = append(e.cancelPaths, r.URL.Path)
			return
		}
		a := attempt{Group: r.Header.Get(backend.HeaderGroup), ID: r.Header.Get(backend.HeaderAttempt),
			Deadline: r.Header.Get(backend.HeaderDeadline), w: rw, ctx: r.Context()}
		_ = json.NewDecoder(r.Body).Decode(&a)
		e.mu.Lock()
		e.attempts = append(e.attempts, a)
		e.mu.Unlock()
		for _, h := range []string{backend.HeaderAttempt, backend.HeaderGroup, backend.HeaderGeneration, backend.HeaderOrganisation} {
			rw.Header().Set(h, r.Header.Get(h))
		}
		serve(a)
	}))
	DeferCleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	group := fleet.PlacedGroup{Name: name, Service: "llm", Generation: 1, Phase: fleet.PhaseServing,
		Members: []fleet.GroupMember{{Instance: name, Address: address}}}
	e.placement.Groups = append(e.placement.Groups, group)
	e.config.Groups = append(e.config.Groups, fleet.Group{Name: name, Service: "llm"})
	e.evidence[name] = blackboard.Observation{ObservedAt: time.Now(), Report: fleet.Report{Instance: name, Group: name,
		Generation: 1, Size: 1, Service: "llm", State: fleet.EngineReady}}
	return server
}

// addServer adds a plain server with handler h.
func (e *testEnv) addServer(h http.HandlerFunc) {
	id := fmt.Sprintf("s%d", len(e.instances.Instances))
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(backend.HeaderAttempt, r.Header.Get(backend.HeaderAttempt))
		h(rw, r)
	}))
	DeferCleanup(server.Close)
	e.instances.Instances = append(e.instances.Instances, fleet.Instance{ID: id, Pool: "desk", State: fleet.InstanceLive,
		Address: strings.TrimPrefix(server.URL, "http://")})
	e.evidence[id] = blackboard.Observation{ObservedAt: time.Now(), Report: fleet.Report{Instance: id, State: fleet.EngineReady}}
}

// publish writes the environment's state to the blackboard and rebuilds the routing table.
func (e *testEnv) publish() {
	e.board.Configuration.Publish(&e.config)
	e.board.Confirmation.Publish(&blackboard.Confirmation{ServeUntil: time.Now().Add(time.Hour)})
	e.board.Instances.Publish(&e.instances)
	e.board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{"d": {Placement: e.placement}}})
	e.board.Evidence.Publish(&blackboard.Evidence{ByInstance: e.evidence})
	e.builder.Build()
}

// start publishes the state and starts the gateway.
func (e *testEnv) start() {
	e.publish()
	registry := metrics.NewRegistry()
	e.gateway = gateway.New(e.settings, gateway.Dependencies{Board: &e.board, Table: &e.builder.Table,
		Engines: backend.NewEngineClient(registry), Servers: backend.NewPlainClient(registry), Limiter: e.admitter,
		Claims: &e.claims, Refresher: e.refresher, Statuses: e.statuses, Quarantine: e.guard, Budget: retry.NewBudget(0, 0), Memory: e.memory, Logger: log.NewNopLogger(), Registry: registry})
	server := httptest.NewUnstartedServer(nil)
	server.Config = e.gateway.Server()
	server.Start()
	DeferCleanup(server.Close)
	e.url = server.URL
}

// callerResponse is a response as a caller receives it.
type callerResponse struct {
	status  int
	header  http.Header
	body    string
	verdict string
}

// do sends a request with key k1. header holds pairs of a header's name and value.
func (e *testEnv) do(method, path, body string, header ...string) callerResponse {
	request, err := http.NewRequest(method, e.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer k1")
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return callerResponse{response.StatusCode, response.Header, string(data), response.Header.Get("Rattanlanding-Verdict")}
}

// events returns the events of the tokens at positions from (included) to to (excluded).
func (a attempt) events(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "data: {\"attempt\":%q,\"position\":%d,\"choices\":[{\"text\":\"t%d \"}]}\n\n", a.ID, i, i)
	}
	return b.String()
}

// writeTokens writes the tokens at positions from (included) to to (excluded).
func (a attempt) writeTokens(from, to int) {
	_, _ = io.WriteString(a.w, a.events(from, to))
	_ = http.NewResponseController(a.w).Flush()
}

// endMarker is the event that ends a complete stream.
const endMarker = "data: [DONE]\n\n"

func (a attempt) writeEndMarker() { _, _ = io.WriteString(a.w, endMarker) }

// serveRemaining writes all tokens that were not yet delivered, and the end marker.
func serveRemaining(a attempt) {
	a.writeTokens(len(a.Resume), len(a.Resume)+a.MaxTokens)
	a.writeEndMarker()
}

// streamedText returns the text of all tokens of a streamed response.
func streamedText(body string) string {
	var b strings.Builder
	for line := range strings.SplitSeq(body, "\n") {
		var event struct{ Choices []struct{ Text string } }
		if data, ok := strings.CutPrefix(line, "data: {"); ok && json.Unmarshal([]byte("{"+data), &event) == nil {
			for _, c := range event.Choices {
				b.WriteString(c.Text)
			}
		}
	}
	return b.String()
}
