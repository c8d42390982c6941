package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/claim"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/gateway"
	"github.com/rattanlanding/rattanlanding/limit"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/route"
)

const (
	pathGroups = 8
	pathKey    = "key0"
	// fieldTokenTime is the request field that sets the stand-in engine's time between
	// tokens, in microseconds.
	fieldTokenTime = "token_time_us"
)

// pathTestbed is a real gateway with stand-in engines behind it. Callers connect to
// the engines directly or through the gateway.
type pathTestbed struct {
	engines []string
	node    string
	client  *http.Client
	closers []func()
}

// streamEngine serves completions. The text of each token is the time at which it was
// written, in nanoseconds.
func streamEngine(w http.ResponseWriter, r *http.Request) {
	var query struct {
		MaxTokens int   `json:"max_tokens"`
		TokenTime int64 `json:"token_time_us"`
	}
	if json.NewDecoder(r.Body).Decode(&query) != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return
	}
	for _, h := range []string{backend.HeaderAttempt, backend.HeaderGroup, backend.HeaderGeneration, backend.HeaderOrganisation} {
		w.Header().Set(h, r.Header.Get(h))
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := range query.MaxTokens {
		if i > 0 {
			pause(r.Context(), time.Duration(query.TokenTime)*time.Microsecond)
		}
		_, err := fmt.Fprintf(w, "data: {\"position\":%d,\"choices\":[{\"text\":\"%d\"}]}\n\n", i, time.Now().UnixNano())
		if err != nil || flusher.Flush() != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// newPathTestbed starts the engines and a gateway whose evidence does not expire.
func newPathTestbed() (*pathTestbed, error) {
	t := &pathTestbed{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
	for range pathGroups {
		address, err := t.listen(&http.Server{Handler: http.HandlerFunc(streamEngine), ReadHeaderTimeout: time.Second})
		if err != nil {
			return t, err
		}
		t.engines = append(t.engines, address)
	}
	board := t.newBoard()
	registry := metrics.NewRegistry()
	builder := route.NewBuilder(route.Config{Lifetime: time.Hour}, board, registry)
	limiter := limit.NewLimiter(board, limit.Config{}, registry)
	ctx, cancel := context.WithCancel(context.Background())
	t.closers = append(t.closers, cancel)
	go func() { _ = builder.Run(ctx) }()
	builder.Build()
	// The memory case holds more concurrent streams than a node admits by default.
	g := gateway.New(gateway.Config{RefreshAge: time.Hour, MaxConcurrent: 4096}, gateway.Dependencies{Board: board, Table: &builder.Table,
		Engines: backend.NewEngineClient(registry), Servers: backend.NewPlainClient(registry), Limiter: pathLimiter{limiter},
		Claims: &claim.Fake{}, Refresher: gateway.Unlimited{}, Statuses: gateway.Unlimited{},
		Quarantine: quarantine.NewGuard(quarantine.Config{}, log.NewNopLogger(), metrics.NewRegistry()), Budget: retry.NewBudget(10, 10),
		Logger: log.NewNopLogger(), Registry: registry})
	var err error
	t.node, err = t.listen(g.Server())
	return t, err
}

// pathLimiter adapts the limiter as the daemon does.
type pathLimiter struct{ limiter *limit.Limiter }

// Admit implements gateway.Limiter.
func (l pathLimiter) Admit(ctx context.Context, organisation, service string, tokens, priority int) (gateway.Admission, error) {
	return l.limiter.Admit(ctx, organisation, service, tokens, priority)
}

// newBoard returns a blackboard with groups of one engine each and their evidence.
func (t *pathTestbed) newBoard() *blackboard.Board {
	board := &blackboard.Board{}
	c := capacityConfiguration(pathGroups, 10, 2)
	c.Organisations[0].KeyHashes = []string{hexHash(pathKey)}
	c.Organisations[0].TokensPerSecond = 1e9
	placed := fleet.Placement{FabricDomain: domainOf(0), NextGeneration: pathGroups + 1}
	evidence := &blackboard.Evidence{ByInstance: map[string]blackboard.Observation{}}
	for i := range pathGroups {
		group := placedGroup(i, 1, func(int) string { return t.engines[i] })
		placed.Groups = append(placed.Groups, group)
		evidence.ByInstance[group.Members[0].Instance] = blackboard.Observation{
			Report: reportOf(&group, 0), ObservedAt: time.Now(), Observer: "node-0"}
	}
	board.Configuration.Publish(c)
	board.Confirmation.Publish(&blackboard.Confirmation{ServeUntil: time.Now().Add(time.Hour)})
	board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{
		placed.FabricDomain: {Version: 1, Placement: placed}}})
	board.Evidence.Publish(evidence)
	return board
}

// listen serves on a loopback address until close.
func (t *pathTestbed) listen(server *http.Server) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	t.closers = append(t.closers, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (t *pathTestbed) close() {
	t.client.CloseIdleConnections()
	for _, c := range t.closers {
		c()
	}
}

// openStream sends one request for a streamed completion.
func (t *pathTestbed) openStream(ctx context.Context, address string, caller, tokens int, tokenTime time.Duration) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"prompt of caller %d","max_tokens":%d,"stream":true,%q:%d}`,
		capacityService, caller, tokens, fieldTokenTime, tokenTime.Microseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+pathKey)
	response, err := t.client.Do(request)
	if err == nil && response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("completion at %s for caller %d: status %d", address, caller, response.StatusCode)
	}
	return response, err
}

// readTokens reads a whole stream and calls seen with the time from the writing
// of each token to its arrival.
func readTokens(body io.Reader, record func(time.Duration)) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		_, rest, found := strings.Cut(lines.Text(), `"text":"`)
		if !found {
			continue
		}
		digits, _, _ := strings.Cut(rest, `"`)
		written, err := strconv.ParseInt(digits, 10, 64)
		if err != nil {
			return fmt.Errorf("token text is not a write time: %w", err)
		}
		record(time.Duration(time.Now().UnixNano() - written))
	}
	return lines.Err()
}
