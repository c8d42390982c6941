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
	// operatorKey is the key of the operators' interface.
	operatorKey = "proof-operator-key"
	// peerKey is the key that the daemons use with each other.
	peerKey = "proof-peer-key-0123456789"
	// readyTimeout limits the wait for a condition of the cluster, such as its start.
	// It is generous because it is not a property under test.
	readyTimeout = 30 * time.Second
)

// deployment holds the names used in one of the two users' deployments.
type deployment struct {
	region string
	// domains are the three failure domains.
	domains []string
	// model is the name of the model and of the engines' pool.
	model string
	// plainService is the name of the plain service and of its servers' pool; path
	// is the path of its non-idempotent calls.
	plainService  string
	path          string
	organisations []string
}

var (
	maracas = deployment{
		region: "tt-north", domains: []string{"port-spain", "arima", "chaguanas"},
		model: "care-llm", plainService: "front-desk", path: "/deposits",
		organisations: []string{"maracas-bonsai-lodge", "north-coast-hotels", "lopinot-growers"},
	}
	lencana = deployment{
		region: "kl", domains: []string{"kl-a", "kl-b", "kl-c"},
		model: "lencana-llm", plainService: "lencana-orders", path: "/orders",
		organisations: []string{"lencana-bersatu", "persatuan-sukan", "sekolah-utara"},
	}
)

// clusterSpec describes a cluster to start.
type clusterSpec struct {
	deployment deployment
	nodes      int
	// groups and engines are counts per fabric domain, of which there are two;
	// groupSize is the number of members of a group.
	groups, engines, groupSize int
	servers                    int
	// ignoreFencing makes the engines of the second fabric domain obey commands
	// with an old fencing token.
	ignoreFencing bool
	// tokensPerSecond is an engine's output rate for one request.
	tokensPerSecond float64
	// maxRunning limits the requests in progress at an engine; 0 means the
	// stand-in's default.
	maxRunning int
	// listLagMs is the delay until a change of the instance list becomes visible.
	listLagMs int64
	// bounds overrides values in the bounds section of the daemons' settings.
	bounds map[string]string
}

// cluster is a running system: the daemons and the stand-ins for the platform,
// engines and plain servers, each as a process of its own.
type cluster struct {
	t    *testing.T
	spec clusterSpec
	// dir holds the configuration, log and event files.
	dir string
	// addressBase is the prefix 127.x of the cluster's IP addresses.
	addressBase string
	recorder    *Recorder

	mu       sync.Mutex
	platform *process
	engines  map[string]*process
	servers  map[string]*process
	nodes    []*process
	// boots counts the starts of each node.
	boots []int
	// underFault holds the IDs of the engines under a fault, so that no other fault
	// is applied to them.
	underFault map[string]bool
	// activePlatformFaults, activeEngineFaults and activeServerFaults are the faults
	// in effect.
	activePlatformFaults                   activeFaults[standin.PlatformFaults]
	activeEngineFaults, activeServerFaults activeFaults[standin.BackendFaults]
	// peerRelays (in front of each node's peer listener) and platformRelays (on each
	// node's way to the platform) have one entry per node.
	peerRelays, platformRelays []*relay
}

// newCluster starts a cluster and waits until all groups are healthy.
func newCluster(t *testing.T, spec clusterSpec) *cluster {
	t.Helper()
	c := &cluster{
		t: t, spec: spec, dir: t.TempDir(), addressBase: freeAddressBase(t), recorder: &Recorder{},
		engines: map[string]*process{}, servers: map[string]*process{}, underFault: map[string]bool{},
		nodes: make([]*process, spec.nodes), boots: make([]int, spec.nodes),
	}
	t.Cleanup(c.close)
	c.platform = startProcess(t, c.dir, "platform", "rattanstandin", standin.Config{
		EventsFile: c.eventsFile("platform"),
		Platform:   &standin.PlatformConfig{Address: c.platformAddress(), ListLagMs: spec.listLagMs},
	})
	c.requireEventually("the platform", func() bool { return reachable(c.platformAddress()) })
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
	c.requireEventually("the first note", func() bool {
		_, err := c.applyNote(0, c.firstNote())
		return err == nil
	})
	c.requireEventually("all groups", func() bool { return c.healthyGroups(0) == 2*spec.groups })
	return c
}

// freeAddressBase returns the prefix 127.x of an unused block of loopback addresses.
func freeAddressBase(t *testing.T) string {
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

func (c *cluster) platformAddress() string { return c.addressBase + ".0.1:7000" }
func (c *cluster) platformRelayAddress(i int) string {
	return fmt.Sprintf("%s.4.%d:7000", c.addressBase, i+1)
}
func (c *cluster) nodeIP(i int) string            { return fmt.Sprintf("%s.2.%d", c.addressBase, i+1) }
func (c *cluster) callerAddress(i int) string     { return c.nodeIP(i) + ":7001" }
func (c *cluster) operatorAddress(i int) string   { return c.nodeIP(i) + ":7002" }
func (c *cluster) peerListenAddress(i int) string { return c.nodeIP(i) + ":7003" }
func (c *cluster) peerAddress(i int) string       { return fmt.Sprintf("%s.3.%d:7003", c.addressBase, i+1) }
func (c *cluster) engineID(d, i int) string       { return fmt.Sprintf("e%d-%d", d, i) }
func (c *cluster) serverID(i int) string          { return fmt.Sprintf("%s%d", serverPrefix, i) }
func (c *cluster) engineAddress(d, i int) string {
	return fmt.Sprintf("%s.%d.%d:8000", c.addressBase, 10+d, i+1)
}
func (c *cluster) serverAddress(i int) string {
	return fmt.Sprintf("%s.20.%d:8000", c.addressBase, i+1)
}
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

// startEngine starts an engine, or starts it again, as a separate process.
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

// startServer starts a plain server, or starts it again.
func (c *cluster) startServer(i int) {
	id := c.serverID(i)
	p := startProcess(c.t, c.dir, id, "rattanstandin", standin.Config{
		PlatformAddress: c.platformAddress(), EventsFile: c.eventsFile(id),
		Servers: []standin.Pool{{
			Pool: c.spec.deployment.plainService, IDPrefix: serverPrefix, FirstNumber: i, Count: 1, Region: c.spec.deployment.region,
			FailureDomain: c.spec.deployment.domains[i%3], FirstAddress: c.serverAddress(i),
		}},
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers[id] = p
}

// startNode starts a daemon, or starts it again.
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

// bounds returns the daemons' bounds as a non-nil map, since the settings don't
// accept JSON null.
func (c *cluster) bounds() map[string]string {
	if c.spec.bounds == nil {
		return map[string]string{}
	}
	return c.spec.bounds
}

// firstNote returns the release note that adds the deployment's services,
// organisations and groups.
func (c *cluster) firstNote() release.Note {
	d := c.spec.deployment
	note := release.Note{ID: "first", Base: 0}
	note.Added.Services = []fleet.Service{
		{Name: d.model, Kind: fleet.KindModel, Pool: d.model, Version: "v1"},
		{Name: d.plainService, Kind: fleet.KindPlain, Pool: d.plainService, NonIdempotent: []string{"POST " + d.path}},
	}
	for _, name := range d.organisations {
		hash := sha256.Sum256([]byte(organisationKey(name)))
		note.Added.Organisations = append(note.Added.Organisations,
			fleet.Organisation{Name: name, KeyHashes: []string{hex.EncodeToString(hash[:])}})
	}
	for domain := range 2 {
		for i := range c.spec.groups {
			note.Added.Groups = append(note.Added.Groups, fleet.Group{
				Name: fmt.Sprintf("g%d-%d", domain, i), Service: d.model, Size: c.spec.groupSize,
				FabricDomain: c.fabricDomain(domain),
			})
		}
	}
	return note
}

// applyNote sends a release note to one node.
func (c *cluster) applyNote(node int, note release.Note) (release.Result, error) {
	var result release.Result
	body, err := json.Marshal(note)
	if err != nil {
		return result, err
	}
	return result, c.operatorCall(node, http.MethodPost, "/v1/notes", body, &result)
}

// status returns the status that one node reports.
func (c *cluster) status(node int) (operator.Status, error) {
	var status operator.Status
	return status, c.operatorCall(node, http.MethodGet, "/v1/status", nil, &status)
}

// operatorCall sends a request to the operators' interface of a node and decodes
// the response.
func (c *cluster) operatorCall(node int, method, path string, body []byte, into any) error {
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

// healthyGroups returns the number of groups that a node reports as healthy.
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

// requireEventually waits for a condition of the set-up, and fails the test if it is
// not met within readyTimeout.
func (c *cluster) requireEventually(what string, condition func() bool) {
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

// history returns the complete history, including the events that the stand-ins
// wrote to their files.
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

// close kills every process.
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

// dumpLogs prints the last 4000 bytes of each daemon's log.
func (c *cluster) dumpLogs() {
	files, _ := filepath.Glob(filepath.Join(c.dir, "node-*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		c.t.Logf("%s:\n%s", filepath.Base(file), data[max(0, len(data)-4000):])
	}
}

// reachable reports whether a TCP connection to the address can be opened.
func reachable(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
