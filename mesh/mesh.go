package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/internal/wait"
)

// Times of the exchange.
const (
	// sendInterval is the time between two states of a node. The load that other
	// nodes place is at most this much older than a datagram's way.
	sendInterval = 100 * time.Millisecond
	// intervalPerNode stretches the interval in a large deployment, so that a node
	// receives a bounded number of states a second.
	intervalPerNode = 10 * time.Millisecond
	// silentAfter is how long a node counts without news. Lost datagrams are rare.
	silentAfter = 1200 * time.Millisecond
	// forgetAfter is the silence after which a node is told nothing any more.
	forgetAfter = 30 * time.Second
	// sharedAddresses is the number of addresses of others in a state.
	sharedAddresses = 6
)

// Config configures a Mesh.
type Config struct {
	// Address is this node's "IP:port" for datagrams.
	Address string
	// Seeds are addresses of nodes to start with.
	Seeds []string
}

// member is a node as heard of last.
type member struct {
	state   *State
	heardAt time.Time
}

// View is what is known of the other nodes. It is immutable.
type View struct {
	// Live are the newest states of nodes heard lately, sorted by name.
	Live []*State
	// running sums the requests of other nodes by instance.
	running map[uint32]int
	// progress holds the instances that sent events to other nodes.
	progress map[uint32]bool
	// waiting names the nodes with requests that wait, by model.
	waiting map[string][]string
	// suspects counts the nodes that found an instance silent.
	suspects map[string]int
}

// Mesh exchanges states.
type Mesh struct {
	cfg    Config
	own    func() State
	logger log.Logger
	sent   metrics.Counter

	mu      sync.Mutex
	members map[string]*member
	targets map[netip.AddrPort]time.Time

	view  atomic.Pointer[View]
	count uint64
	boot  int64
}

// New returns a mesh that tells others what own returns.
func New(cfg Config, own func() State, logger log.Logger, registry metrics.Registry) *Mesh {
	m := &Mesh{cfg: cfg, own: own, logger: log.With(logger, "component", "mesh"),
		sent:    metrics.GetOrRegisterCounter("mesh.sent_bytes", registry),
		members: map[string]*member{}, targets: map[netip.AddrPort]time.Time{}, boot: time.Now().UnixMilli()}
	m.view.Store(&View{})
	for _, seed := range cfg.Seeds {
		m.Introduce(seed)
	}
	return m
}

// Boot identifies this process.
func (m *Mesh) Boot() int64 { return m.boot }

// Introduce adds the address of another node.
func (m *Mesh) Introduce(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || address == m.cfg.Address {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.targets[parsed]; !known {
		m.targets[parsed] = time.Now()
	}
}

// Run exchanges states until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp4", m.cfg.Address)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go m.receive(conn)
	for ctx.Err() == nil {
		m.send(conn)
		m.refresh()
		wait.For(ctx, max(sendInterval, time.Duration(m.Nodes())*intervalPerNode))
	}
	return nil
}

// send tells every known node the state.
func (m *Mesh) send(conn *net.UDPConn) {
	m.count++
	state := m.own()
	state.Boot, state.Count = m.boot, m.count
	targets := m.addresses()
	state.Known = sample(targets)
	data, err := encode(&state)
	if err != nil || len(data) > maxDatagram {
		_ = level.Error(m.logger).Log("msg", "state not sent", "bytes", len(data), "err", err)
		return
	}
	for _, target := range targets {
		// A lost datagram is made up for by the next one.
		if n, err := conn.WriteToUDPAddrPort(data, target); err == nil {
			m.sent.Inc(int64(n))
		}
	}
}

func (m *Mesh) addresses() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	targets := make([]netip.AddrPort, 0, len(m.targets))
	for target := range m.targets {
		targets = append(targets, target)
	}
	return targets
}

// sample draws addresses to pass on.
func sample(targets []netip.AddrPort) []string {
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	var names []string
	for _, target := range targets[:min(len(targets), sharedAddresses)] {
		names = append(names, target.String())
	}
	return names
}

func (m *Mesh) receive(conn *net.UDPConn) {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		state, err := decode(buffer[:n])
		if err != nil {
			_ = level.Debug(m.logger).Log("msg", "unreadable datagram", "err", err)
			continue
		}
		m.accept(state, time.Now())
	}
}

// accept records a state unless a newer one is known.
func (m *Mesh) accept(s *State, now time.Time) {
	address, err := netip.ParseAddrPort(s.PeerAddress)
	if err != nil || s.PeerAddress == m.cfg.Address {
		return
	}
	for _, other := range s.Known {
		m.Introduce(other)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets[address] = now
	old := m.members[s.PeerAddress]
	if old != nil && !newer(s, old, now) {
		return
	}
	if old == nil || old.state.Boot != s.Boot {
		_ = level.Info(m.logger).Log("msg", "node heard", "peer", s.Node, "boot", s.Boot)
	}
	m.members[s.PeerAddress] = &member{state: s, heardAt: now}
}

// newer reports whether s follows the last state of the same address. The clock
// may have been set back before a restart, so another boot also counts as newer
// once the old one has been silent.
func newer(s *State, old *member, now time.Time) bool {
	if s.Boot == old.state.Boot {
		return s.Count > old.state.Count
	}
	return s.Boot > old.state.Boot || now.Sub(old.heardAt) > silentAfter
}

// refresh publishes a view and forgets nodes that are gone.
func (m *Mesh) refresh() {
	now := time.Now()
	m.mu.Lock()
	for address, at := range m.targets {
		if now.Sub(at) > forgetAfter && !slices.Contains(m.cfg.Seeds, address.String()) {
			delete(m.targets, address)
		}
	}
	v := &View{running: map[uint32]int{}, progress: map[uint32]bool{},
		waiting: map[string][]string{}, suspects: map[string]int{}}
	for address, other := range m.members {
		switch silent := now.Sub(other.heardAt); {
		case silent > forgetAfter:
			delete(m.members, address)
		case silent <= silentAfter:
			v.add(other.state)
		}
	}
	m.mu.Unlock()
	slices.SortFunc(v.Live, func(a, b *State) int { return strings.Compare(a.Node, b.Node) })
	m.view.Store(v)
}

func (v *View) add(s *State) {
	v.Live = append(v.Live, s)
	for instance, use := range s.Use {
		v.running[instance] += use.Requests()
		if use.Progress() {
			v.progress[instance] = true
		}
	}
	for model, n := range s.Waiting {
		if n > 0 {
			v.waiting[model] = append(v.waiting[model], s.Node)
		}
	}
	for _, instance := range s.Suspects {
		v.suspects[instance]++
	}
}

// View returns what is known of the other nodes.
func (m *Mesh) View() *View { return m.view.Load() }

// Running implements forward.Peers.
func (m *Mesh) Running(instance string) int { return m.View().running[Key(instance)] }

// Progress implements forward.Peers.
func (m *Mesh) Progress(instance string) bool { return m.View().progress[Key(instance)] }

// Demand implements forward.Peers.
func (m *Mesh) Demand(model string) float64 {
	total := 0.0
	for _, s := range m.View().Live {
		total += float64(s.Demand[model])
	}
	return total
}

// WaitingNodes implements forward.Peers.
func (m *Mesh) WaitingNodes(model string) []string { return m.View().waiting[model] }

// Suspecting returns the number of other nodes that found the instance silent.
func (m *Mesh) Suspecting(instance string) int { return m.View().suspects[instance] }

// minSuspecting is the number of nodes whose suspicion others share: one alone may
// be cut off itself.
const minSuspecting = 2

// Suspected implements forward.Peers.
func (m *Mesh) Suspected(instance string) bool { return m.Suspecting(instance) >= minSuspecting }

// Nodes implements forward.Peers.
func (m *Mesh) Nodes() int {
	n := 1
	for _, s := range m.View().Live {
		if !s.Leaving {
			n++
		}
	}
	return n
}
