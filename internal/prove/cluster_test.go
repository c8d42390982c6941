package prove

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/standin"
	"github.com/rattanlanding/rattanlanding/operator"
	"github.com/rattanlanding/rattanlanding/release"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	operatorKey = "proof-operator-key"
	peerKey     = "proof-peer-key-0123456789"
	// readyTimeout bounds the start of a cluster. It is generous because it is
	// not a property under test.
	readyTimeout = 30 * time.Second
)

// deployment holds the names of one of the two users' deployments.
type deployment struct {
	region        string
	domains       []string
	model         string
	plain         string
	path          string
	organisations []string
}

var (
	maracas = deployment{
		region: "tt-north", domains: []string{"port-spain", "arima", "chaguanas"},
		model: "care-llm", plain: "front-desk", path: "/deposits",
		organisations: []string{"maracas-bonsai-lodge", "north-coast-hotels", "lopinot-growers"},
	}
	lencana = deployment{
		region: "kl", domains: []string{"kl-a", "kl-b", "kl-c"},
		model: "lencana-llm", plain: "lencana-orders", path: "/orders",
		organisations: []string{"lencana-bersatu", "persatuan-sukan", "sekolah-utara"},
	}
)

// clusterSpec describes a cluster.
type clusterSpec struct {
	deployment deployment
	nodes      int
	// groups and engines are numbers for each of two fabric domains.
	groups, engines, size int
	servers               int
	// ignoreFencing makes the engines of the second fabric domain obey commands
	// with an old fencing token.
	ignoreFencing bool
	// tokensPerSecond is the speed of one request at an engine.
	tokensPerSecond float64
	// maxRunning limits the requests in progress at an engine; 0 means the
	// stand-in's default.
	maxRunning int
	listLagMs  int64
	// bounds overrides bounds of the daemons' settings.
	bounds map[string]string
}

// cluster is a running system of real processes with the stand-ins.
type cluster struct {
	t        *testing.T
	spec     clusterSpec
	dir      string
	base     string
	recorder *Recorder

	mu       sync.Mutex
	platform *process
	engines  map[string]*process
	servers  map[string]*process
	nodes    []*process
	boots    []int
	// faulty holds the engines under a fault, so that no other one meets them.
	faulty map[string]bool
	// atPlatform, atEngines and atServers are the faults that last.
	atPlatform           overlay[standin.PlatformFaults]
	atEngines, atServers overlay[standin.BackendFaults]
	// peerRelays and platformRelays have one entry a node.
	peerRelays, platformRelays []*relay
}

// newCluster starts a cluster and waits until all groups are whole.
func newCluster(t *testing.T, spec clusterSpec) *cluster {
	t.Helper()
	c := &cluster{
		t: t, spec: spec, dir: t.TempDir(), base: freeBase(t), recorder: &Recorder{},
		engines: map[string]*process{}, servers: map[string]*process{}, faulty: map[string]bool{},
		nodes: make([]*process, spec.nodes), boots: make([]int, spec.nodes),
	}
	t.Cleanup(c.close)
	c.platform = startProcess(t, c.dir, "platform", "rattanstandin", standin.Config{
		EventsFile: c.eventsFile("platform"),
		Platform:   &standin.PlatformConfig{Address: c.platformAddress(), ListLagMs: spec.listLagMs},
	})
	c.await("the platform", func() bool { return reachable(c.platformAddress()) })
	for d := range 2 {
		for i := range spec.engines {
			c.startEngine(d, i)
		}
	}
	for i := range spec.servers {
		c.startServer(i)
	}
	for i := range spec.nodes {
		c.peerRelays = append(c.peerRelays, startRelay(t, c.peerAddress(i), c.peerListenAddress(i)))
		c.platformRelays = append(c.platformRelays, startRelay(t, c.platformRelayAddress(i), c.platformAddress()))
		c.startNode(i)
	}
	c.await("the first note", func() bool {
		_, err := c.apply(0, c.firstNote())
		return err == nil
	})
	c.await("all groups", func() bool { return c.healthyGroups(0) == 2*spec.groups })
	return c
}

// freeBase finds an unused block 127.x of loopback addresses.
func freeBase(t *testing.T) string {
	for i := range 180 {
		base := fmt.Sprintf("127.%d", 40+(os.Getpid()+i)%180)
		listener, err := net.Listen("tcp", base+".0.9:6999")
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
			return base
		}
	}
	t.Fatal("no free block of loopback addresses")
	return ""
}

func (c *cluster) platformAddress() string           { return c.base + ".0.1:7000" }
func (c *cluster) platformRelayAddress(i int) string { return fmt.Sprintf("%s.4.%d:7000", c.base, i+1) }
func (c *cluster) nodeIP(i int) string               { return fmt.Sprintf("%s.2.%d", c.base, i+1) }
func (c *cluster) callerAddress(i int) string        { return c.nodeIP(i) + ":7001" }
func (c *cluster) operatorAddress(i int) string      { return c.nodeIP(i) + ":7002" }
func (c *cluster) peerListenAddress(i int) string    { return c.nodeIP(i) + ":7003" }
func (c *cluster) peerAddress(i int) string          { return fmt.Sprintf("%s.3.%d:7003", c.base, i+1) }
func (c *cluster) engineID(d, i int) string          { return fmt.Sprintf("e%d-%d", d, i) }
func (c *cluster) serverID(i int) string             { return fmt.Sprintf("%s%d", serverPrefix, i) }
func (c *cluster) engineAddress(d, i int) string {
	return fmt.Sprintf("%s.%d.%d:8000", c.base, 10+d, i+1)
}
func (c *cluster) serverAddress(i int) string    { return fmt.Sprintf("%s.20.%d:8000", c.base, i+1) }
func (c *cluster) eventsFile(name string) string { return filepath.Join(c.dir, name+".events") }
func (c *cluster) fabricDomain(d int) string     { return c.spec.deployment.domains[d] + "-f1" }
func organisationKey(organisation string) string { return "proof-key-" + organisation }
func (c *cluster) seeds() []string               { return c.addresses(c.callerAddress) }
func (c *cluster) addresses(f func(int) string) (list []string) {
	for i := range c.spec.nodes {
		list = append(list, f(i))
	}
	return list
}

// startEngine starts, or restarts, one engine as a process of its own.
func (c *cluster) startEngine(d, i int) {
	id := c.engineID(d, i)
	p := startProcess(c.t, c.dir, id, "rattanstandin", standin.Config{
		PlatformAddress: c.platformAddress(), EventsFile: c.eventsFile(id),
		Engines: []standin.Pool{{
			Pool: c.spec.deployment.model, IDPrefix: fmt.Sprintf("e%d-", d), FirstNumber: i, Count: 1,
			Region: c.spec.deployment.region, FailureDomain: c.spec.deployment.domains[d],
			FabricDomain: c.fabricDomain(d), FirstAddress: c.engineAddress(d, i), Accelerators: 8,
			IgnoreFencing: c.spec.ignoreFencing && d == 1, TokensPerSecond: c.spec.tokensPerSecond, LoadMs: 100,
			MaxRunning: c.spec.maxRunning,
		}},
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines[id] = p
}

// startServer starts one server of the plain service.
func (c *cluster) startServer(i int) {
	id := c.serverID(i)
	p := startProcess(c.t, c.dir, id, "rattanstandin", standin.Config{
		PlatformAddress: c.platformAddress(), EventsFile: c.eventsFile(id),
		Servers: []standin.Pool{{
			Pool: c.spec.deployment.plain, IDPrefix: serverPrefix, FirstNumber: i, Count: 1, Region: c.spec.deployment.region,
			FailureDomain: c.spec.deployment.domains[i%3], FirstAddress: c.serverAddress(i),
		}},
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers[id] = p
}

// startNode starts, or restarts, one daemon.
func (c *cluster) startNode(i int) {
	hash := sha256.Sum256([]byte(operatorKey))
	p := startProcess(c.t, c.dir, fmt.Sprintf("node-%d", i), "rattanlanding", map[string]any{
		"node": fmt.Sprintf("node-%d", i), "region": c.spec.deployment.region,
		"failureDomain": c.spec.deployment.domains[i%3], "callerAddress": c.callerAddress(i),
		"operatorAddress": c.operatorAddress(i), "peerAddress": c.peerListenAddress(i),
		"peerAdvertiseAddress": c.peerAddress(i), "platformAddresses": []string{c.platformRelayAddress(i)},
		"peers":        c.addresses(c.peerAddress),
		"operatorKeys": []map[string]string{{"name": "prover", "keySha256": hex.EncodeToString(hash[:])}},
		"peerKey":      peerKey, "bounds": c.bounds(),
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[i] = p
	c.boots[i]++
}

// bounds returns the daemons' bounds; JSON null is not valid for them.
func (c *cluster) bounds() map[string]string {
	if c.spec.bounds == nil {
		return map[string]string{}
	}
	return c.spec.bounds
}

// firstNote returns the note with the deployment's services, organisations and
// groups.
func (c *cluster) firstNote() release.Note {
	d := c.spec.deployment
	note := release.Note{ID: "first", Base: 0}
	note.Added.Services = []fleet.Service{
		{Name: d.model, Kind: fleet.KindModel, Pool: d.model, Version: "v1"},
		{Name: d.plain, Kind: fleet.KindPlain, Pool: d.plain, NonIdempotent: []string{"POST " + d.path}},
	}
	for _, name := range d.organisations {
		hash := sha256.Sum256([]byte(organisationKey(name)))
		note.Added.Organisations = append(note.Added.Organisations,
			fleet.Organisation{Name: name, KeyHashes: []string{hex.EncodeToString(hash[:])}})
	}
	for domain := range 2 {
		for i := range c.spec.groups {
			note.Added.Groups = append(note.Added.Groups, fleet.Group{
				Name: fmt.Sprintf("g%d-%d", domain, i), Service: d.model, Size: c.spec.size,
				FabricDomain: c.fabricDomain(domain),
			})
		}
	}
	return note
}

// apply sends a release note to one node.
func (c *cluster) apply(node int, note release.Note) (release.Result, error) {
	var result release.Result
	body, err := json.Marshal(note)
	if err != nil {
		return result, err
	}
	return result, c.operate(node, http.MethodPost, "/v1/notes", body, &result)
}

// status asks one node for its status.
func (c *cluster) status(node int) (operator.Status, error) {
	var status operator.Status
	return status, c.operate(node, http.MethodGet, "/v1/status", nil, &status)
}

// operate makes a call to a node's operators' interface.
func (c *cluster) operate(node int, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.operatorAddress(node)+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var text bytes.Buffer
	if _, err := text.ReadFrom(response.Body); err != nil {
		return err
	}
	if refused, ok := verdict.ParseBody(text.Bytes()); ok {
		return refused
	}
	return json.Unmarshal(text.Bytes(), into)
}

// healthyGroups counts the groups that a node sees as healthy.
func (c *cluster) healthyGroups(node int) int {
	status, err := c.status(node)
	if err != nil {
		return 0
	}
	healthy := 0
	for _, g := range status.Groups {
		if g.Healthy {
			healthy++
		}
	}
	return healthy
}

// await waits for a condition of the set-up; it fails the test when readyTimeout
// passes.
func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	end := time.Now().Add(readyTimeout)
	for !condition() {
		if time.Now().After(end) {
			c.dumpLogs()
			c.t.Fatalf("%s: not ready within %s", what, readyTimeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// history reads the stand-ins' events and returns the whole history.
func (c *cluster) history() *History {
	files, err := filepath.Glob(filepath.Join(c.dir, "*.events"))
	if err != nil {
		c.t.Fatal(err)
	}
	events, err := ReadEvents(files...)
	if err != nil {
		c.t.Fatal(err)
	}
	return c.recorder.History(events)
}

// close ends every process.
func (c *cluster) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append([]*process{c.platform}, c.nodes...)
	for _, p := range c.engines {
		all = append(all, p)
	}
	for _, p := range c.servers {
		all = append(all, p)
	}
	for _, p := range all {
		if p != nil && p.running() {
			p.thaw()
			p.kill()
		}
	}
}

// dumpLogs prints the last part of every log.
func (c *cluster) dumpLogs() {
	files, _ := filepath.Glob(filepath.Join(c.dir, "node-*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		c.t.Logf("%s:\n%s", filepath.Base(file), data[max(0, len(data)-4000):])
	}
}

func reachable(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
