package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/drain"
	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/forward"
	"github.com/rattanlanding/rattanlanding/internal/httpdrain"
	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/platform"
	"github.com/rattanlanding/rattanlanding/platform/platformtest"
	"github.com/rattanlanding/rattanlanding/quarantine"
)

const (
	// changeInterval is the mean time between two changes.
	changeInterval = 20 * time.Millisecond
	// minRouteTimeout is the shortest timeout of a route.
	minRouteTimeout = 2500 * time.Millisecond
	// changesStopTime is how long the node may take to stop.
	changesStopTime = 8 * time.Second
	changesKey      = "k"
	// changesPart is a part of each stream's prompt, which is in quarantine at times.
	changesPart = "p"
)

// changesNode is a node with callers and backend servers, but without a platform and other
// nodes, whose documents are changed at random.
type changesNode struct {
	handler    *forward.Handler
	followers  followers
	guard      *quarantine.Guard
	quarantine quarantine.Notice
	reloader   *reloader
	callers    *callerServer
	address    string
	servers    []*changesServer
	random     *rand.Rand
	version    uint64
	// stopping is true once the node was told to stop.
	stopping atomic.Bool

	mu sync.Mutex
	// whole tells for the ID of each request that reached the handler whether its body was
	// read to its end.
	whole map[string]bool
	// logged holds the lines of the log.
	logged bytes.Buffer
}

// Write appends lines to the log.
func (n *changesNode) Write(p []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.logged.Write(p)
}

// logOf returns the lines of the log about a request.
func (n *changesNode) logOf(id string) (lines string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for line := range strings.Lines(n.logged.String()) {
		if strings.Contains(line, id) {
			lines += line
		}
	}
	return lines
}

func startChangesNode(t *testing.T, seed uint64) (*changesNode, func()) {
	g := NewWithT(t)
	n := &changesNode{random: rand.New(rand.NewPCG(seed, 0)), whole: map[string]bool{},
		quarantine: quarantine.Notice{Parts: []quarantine.Part{quarantine.PartOf(changesPart)}, Crashes: 6, Prompts: 3}}
	logger, registry := log.NewLogfmtLogger(n), metrics.NewRegistry()
	s := DefaultSettings()
	s.Node, s.FailureDomain, s.PeerAddress = "n", "z", "127.0.0.1:9"
	links := newLinks(logger, registry)
	tables, pool, guard, limits := forward.NewTables(), newPool(newConnectionLimiter(s, newMemory(s, registry), registry), links), newGuard(s, logger, registry), newThrottle(s, logger, registry)
	r := newRelay(s, nil, logger)
	f := newFollowers(s, r, logger)
	ps := newPlatformState(s, f, tables, pool, limits, logger, registry)
	st := newStatus(s, ps, tables, f, r, guard, limits, links, logger, registry)
	listener, err := httpdrain.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	n.followers, n.guard, n.address = f, guard, listener.Addr().String()
	n.handler = newHandler(s, ps, st, pool, newMemory(s, registry), logger, registry)
	n.reloader = &reloader{path: SettingsFile(filepath.Join(t.TempDir(), "settings.json")), mesh: st.mesh, handler: n.handler, logger: logger, current: s}
	n.callers = newCallerServer(http.HandlerFunc(n.serve), listener, nil, logger)
	requests := &changesRequests{seen: map[string]bool{}}
	for range 5 {
		n.servers = append(n.servers, newChangesServer(g, requests))
	}
	n.publish(true)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	d := &daemon{platformState: ps, callers: n.callers}
	for _, run := range []func(context.Context) error{ps.Run, d.followLimits, n.change} {
		running.Go(func() { _ = run(ctx) })
	}
	running.Go(func() { _ = n.callers.run() })
	g.Eventually(st.Ready).Should(BeTrue())
	return n, func() {
		cancel()
		soon, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		n.callers.shutdown(soon)
		running.Wait()
		for _, server := range n.servers {
			_ = server.listener.Close()
		}
	}
}

// leave stops the node as the daemon does.
func (n *changesNode) leave() {
	n.stopping.Store(true)
	n.handler.SetLeaving(drain.Grace{Total: changesStopTime, Answers: changesStopTime - shutdownReserve - answerReserve})
	ctx, cancel := context.WithTimeout(context.Background(), changesStopTime-shutdownReserve)
	defer cancel()
	wait.For(ctx, changesStopTime/4)
	n.callers.shutdown(ctx)
}

// serve records which requests were read whole.
func (n *changesNode) serve(w http.ResponseWriter, r *http.Request) {
	body := &recordedBody{ReadCloser: r.Body, node: n, id: platformtest.RequestID(r.Header)}
	n.record(body.id, r.Body == http.NoBody)
	r.Body = body
	n.handler.ServeHTTP(w, r)
}

func (n *changesNode) record(id string, whole bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.whole[id] = whole
}

// progress returns whether a request reached the handler, and whether it was read whole.
func (n *changesNode) progress(id string) (arrived, whole bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	whole, arrived = n.whole[id]
	return arrived, whole
}

type recordedBody struct {
	io.ReadCloser
	node *changesNode
	id   string
}

func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.node.record(b.id, true)
	}
	return n, err
}

// change changes something at random until ctx is cancelled.
func (n *changesNode) change(ctx context.Context) error {
	for ctx.Err() == nil {
		time.Sleep(rand.N(2 * changeInterval))
		switch n.random.IntN(12) {
		case 0:
			n.quarantine.Since, n.quarantine.RemainingMs = time.Now().UnixMilli(), uint32(n.random.IntN(150))
			n.guard.Ledger(quarantine.Parts).Absorb(&quarantine.Observations{Notices: []quarantine.Notice{n.quarantine}})
		case 1:
			n.reload()
		default:
			n.publish(false)
		}
	}
	return nil
}

// reload changes the retry limits in the settings file and reloads it.
func (n *changesNode) reload() {
	settings := fmt.Sprintf(`{"node":"n","region":"r","failureDomain":"z","callerAddress":"127.0.0.1:1","directoryAddress":"127.0.0.1:2","readinessAddress":"127.0.0.1:3",
		"peerAddress":"127.0.0.1:4","platformAddress":"127.0.0.1:5","retryRatio":%f,"retryAllowance":%f}`, n.random.Float64(), 1000*n.random.Float64())
	if err := os.WriteFile(string(n.reloader.path), []byte(settings), 0o600); err != nil {
		panic(err)
	}
	n.reloader.reload("signal")
}

// chance returns true with the given probability.
func (n *changesNode) chance(p float64) bool { return n.random.Float64() < p }

// between returns a random duration in milliseconds.
func (n *changesNode) between(from, to time.Duration) int64 {
	return (from + time.Duration(n.random.Int64N(int64(to-from)))).Milliseconds()
}

// publish publishes a random configuration and a random instance list; whole ones lack
// nothing.
func (n *changesNode) publish(whole bool) {
	n.version++
	lacks := func(p float64) bool { return !whole && n.chance(p) }
	configuration := map[string]any{"version": n.version, "limits": map[string]any{
		"maxHeaderBytes": 8192 + n.random.IntN(8192), "maxBodyBytes": 1 << (18 + n.random.IntN(3)),
		"headerTimeoutMs": n.between(time.Second, 2*time.Second), "idleTimeoutMs": n.between(20*time.Millisecond, []time.Duration{100 * time.Millisecond, 2 * time.Second}[n.random.IntN(2)])}}
	var routes, services, tenants []any
	for _, r := range []struct{ name, kind, service string }{{"safe", "safe", "desk"}, {"unsafe", "unsafe", "desk"}, {"stream", "streaming", "llm"}, {"stream-once", "streaming", "llm"}} {
		if lacks(0.05) {
			continue
		}
		route := map[string]any{"name": r.name, "hostname": "h", "pathPrefix": "/" + r.name + "/", "routeType": r.kind, "timeoutMs": n.between(minRouteTimeout, 2*minRouteTimeout),
			"latencyGoalMs": n.between(100*time.Millisecond, time.Second), "priority": n.random.IntN(3), "maxAttempts": 1 + n.random.IntN(3), "resumable": r.name == "stream" && !lacks(0.3),
			"service": r.service, "anonymous": lacks(0.05)}
		if r.service == "desk" && n.chance(0.5) {
			route["backends"] = []any{map[string]any{"service": "desk", "weight": n.random.Float64()}, map[string]any{"service": "office", "weight": n.random.Float64()}}
		}
		routes = append(routes, route)
	}
	for _, name := range []string{"desk", "office"} {
		if !lacks(0.05) {
			services = append(services, map[string]any{"name": name, "maxConnections": n.random.IntN(2) * 12})
		}
	}
	if !lacks(0.05) {
		models := []any{map[string]any{"name": "m", "size": 1, "share": 1, "pace": 0.5 + n.random.Float64()}}
		if lacks(0.05) {
			models = nil
		}
		services = append(services, map[string]any{"name": "llm", "engine": map[string]any{"slots": 4 + n.random.IntN(8), "stride": 1, "step_ms": 5, "per_seq_ms": 0.1,
			"read_per_s": 45_900.0, "chunk": 2048, "far_x": 3, "models": models}})
	}
	if !lacks(0.05) {
		tenants = append(tenants, map[string]any{"name": "t", "apiKeys": []string{changesKey}, "priority": n.random.IntN(3)})
	}
	tenants = append(tenants, map[string]any{"name": "other", "apiKeys": []string{"other"}})
	configuration["routes"], configuration["services"], configuration["tenants"] = routes, services, tenants
	version, _ := object.NewVersion(1, n.version)
	n.followers.configurations.Current.Publish(&follow.Snapshot{Cursor: version, Objects: []object.Object{
		newObject(platform.ConfigurationKind, platform.ConfigurationName, version, configuration)}})
	n.followers.instances.Current.Publish(&follow.Snapshot{Cursor: version, Objects: n.instances(version, lacks)})
}

// instances returns the entries of the instance list.
func (n *changesNode) instances(version object.Version, lacks func(float64) bool) []object.Object {
	var list []object.Object
	for i, server := range n.servers {
		// Each second or so, the servers have been started again, and state nothing yet.
		in := map[string]any{"service": []string{"desk", "desk", "office", "llm", "llm"}[i], "address": server.address(), "zone": "z", "state": "ready", "version": "v1", "coldRemainingMs": 0,
			"slots": 4 + n.random.IntN(8), "born": time.Now().Unix() * 1000, "sequence": n.version}
		if lacks(0.05) {
			in["state"] = "draining"
		}
		if in["service"] == "llm" {
			in["models"] = []any{map[string]any{"name": "m"}}
			state := "open"
			if lacks(0.05) {
				state = "broken"
			}
			in["group"] = map[string]any{"name": fmt.Sprint("g", i), "epoch": 1, "rank": 0, "state": state}
		}
		if !lacks(0.05) {
			list = append(list, newObject(platform.InstanceKind, fmt.Sprint("i", i), version, in))
		}
	}
	return list
}

func newObject(kind, name string, version object.Version, value any) object.Object {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return object.Object{Key: object.Key{Kind: kind, Name: name}, Version: version, Value: data}
}

// dial opens a caller's connection.
func (n *changesNode) dial() (net.Conn, error) { return net.Dial("tcp4", n.address) }
