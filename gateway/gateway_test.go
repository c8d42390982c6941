package gateway_test

import (
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
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/route"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// world is a gateway with its backend servers.
type world struct {
	board     blackboard.Board
	config    fleet.Configuration
	list      fleet.InstanceList
	place     fleet.Placement
	evidence  map[string]blackboard.Observation
	builder   *route.Builder
	claims    claim.Fake
	settings  gateway.Config
	refresher gateway.Refresher
	gateway   *gateway.Gateway
	url       string

	mu       sync.Mutex
	attempts []attempt
	cancels  []string
}

// attempt is a completion as an engine received it.
type attempt struct {
	Group     string   `json:"-"`
	ID        string   `json:"-"`
	MaxTokens int      `json:"max_tokens"`
	Resume    []string `json:"resume_tokens"`
	Extra     string   `json:"extra"`
	Deadline  string   `json:"-"`
	w         http.ResponseWriter
}

func newWorld() *world {
	w := &world{evidence: make(map[string]blackboard.Observation), refresher: gateway.Unlimited{}}
	w.settings = gateway.Config{RefreshAge: time.Hour, PickWait: time.Millisecond, ResumeWait: time.Millisecond,
		Groups: &route.RoundRobin{}, Servers: &route.RoundRobin{}}
	hash := func(key string) []string {
		sum := sha256.Sum256([]byte(key))
		return []string{hex.EncodeToString(sum[:])}
	}
	w.config.Services = []fleet.Service{{Name: "llm", Kind: fleet.KindModel},
		{Name: "desk", Kind: fleet.KindPlain, Pool: "desk", NonIdempotent: []string{"POST /charges"}}}
	w.config.Organisations = []fleet.Organisation{{Name: "o1", KeyHashes: hash("k1")},
		{Name: "o2", KeyHashes: hash("k2"), Services: []string{"other"}}, {Name: "o3", KeyHashes: hash("k3")}}
	w.builder = route.NewBuilder(route.Config{Lifetime: time.Hour}, &w.board, metrics.NewRegistry())
	return w
}

// seen returns the attempts that reached engines.
func (w *world) seen() []attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.attempts)
}

// engine adds a group of one engine.
func (w *world) engine(serve func(a attempt)) {
	name := fmt.Sprintf("g%d", len(w.place.Groups))
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.cancels = append(w.cancels, r.URL.Path)
			return
		}
		a := attempt{Group: r.Header.Get(backend.HeaderGroup), ID: r.Header.Get(backend.HeaderAttempt),
			Deadline: r.Header.Get(backend.HeaderDeadline), w: rw}
		_ = json.NewDecoder(r.Body).Decode(&a)
		w.mu.Lock()
		w.attempts = append(w.attempts, a)
		w.mu.Unlock()
		for _, h := range []string{backend.HeaderAttempt, backend.HeaderGroup, backend.HeaderGeneration, backend.HeaderOrganisation} {
			rw.Header().Set(h, r.Header.Get(h))
		}
		serve(a)
	}))
	DeferCleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	group := fleet.PlacedGroup{Name: name, Service: "llm", Generation: 1, Phase: fleet.PhaseServing,
		Members: []fleet.GroupMember{{Instance: name, Address: address}}}
	w.place.Groups = append(w.place.Groups, group)
	w.config.Groups = append(w.config.Groups, fleet.Group{Name: name, Service: "llm"})
	w.evidence[name] = blackboard.Observation{ObservedAt: time.Now(), Report: fleet.Report{Instance: name, Group: name,
		Generation: 1, Size: 1, Service: "llm", State: fleet.EngineReady}}
}

// server adds a plain server.
func (w *world) server(h http.HandlerFunc) {
	id := fmt.Sprintf("s%d", len(w.list.Instances))
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(backend.HeaderAttempt, r.Header.Get(backend.HeaderAttempt))
		h(rw, r)
	}))
	DeferCleanup(server.Close)
	w.list.Instances = append(w.list.Instances, fleet.Instance{ID: id, Pool: "desk", State: fleet.InstanceLive,
		Address: strings.TrimPrefix(server.URL, "http://")})
	w.evidence[id] = blackboard.Observation{ObservedAt: time.Now(), Report: fleet.Report{Instance: id, State: fleet.EngineReady}}
}

func (w *world) publish() {
	w.board.Configuration.Publish(&w.config)
	w.board.Confirmation.Publish(&blackboard.Confirmation{ServeUntil: time.Now().Add(time.Hour)})
	w.board.Instances.Publish(&w.list)
	w.board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{"d": {Placement: w.place}}})
	w.board.Evidence.Publish(&blackboard.Evidence{ByInstance: w.evidence})
	w.builder.Build()
}

func (w *world) start() {
	w.publish()
	registry := metrics.NewRegistry()
	w.gateway = gateway.New(w.settings, gateway.Parts{Board: &w.board, Table: &w.builder.Table,
		Engines: backend.NewEngines(registry), Servers: backend.NewPlain(registry), Limiter: gateway.Unlimited{},
		Claims: &w.claims, Refresher: w.refresher, Budget: retry.NewBudget(0, 0), Logger: log.NewNopLogger(), Registry: registry})
	server := httptest.NewUnstartedServer(nil)
	server.Config = w.gateway.Server()
	server.Start()
	DeferCleanup(server.Close)
	w.url = server.URL
}

// answer is a caller's view of an answer.
type answer struct {
	status  int
	header  http.Header
	body    string
	verdict string
}

func (w *world) do(method, path, body string, header ...string) answer {
	request, err := http.NewRequest(method, w.url+path, strings.NewReader(body))
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
	return answer{response.StatusCode, response.Header, string(data), response.Header.Get("Rattanlanding-Verdict")}
}

// say writes the tokens from position from up to, not including, to.
func (a attempt) say(from, to int) {
	for i := from; i < to; i++ {
		fmt.Fprintf(a.w, "data: {\"attempt\":%q,\"position\":%d,\"choices\":[{\"text\":\"t%d \"}]}\n\n", a.ID, i, i)
	}
	_ = http.NewResponseController(a.w).Flush()
}

func (a attempt) end() { _, _ = io.WriteString(a.w, "data: [DONE]\n\n") }

// rest answers everything that is still to be said.
func rest(a attempt) {
	a.say(len(a.Resume), len(a.Resume)+a.MaxTokens)
	a.end()
}

// texts returns the tokens of a streamed answer.
func texts(body string) string {
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
