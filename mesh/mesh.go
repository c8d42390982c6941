package mesh

import (
	"context"
	"net"
	"net/netip"
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
	// intervalPerNode stretches the interval with the nodes that tell each other,
	// so that none receives more than some 300 states a second.
	intervalPerNode = 3300 * time.Microsecond
	// sharedAddresses is the number of addresses of others in a state.
	sharedAddresses = 6
)

// Config configures a Mesh.
type Config struct {
	// Node is this node's name.
	Node string
	// Address is this node's "IP:port" for datagrams.
	Address string
	// Seeds are addresses of nodes to start with.
	Seeds []string
}

// Mesh exchanges states.
type Mesh struct {
	cfg            Config
	key            uint32
	address        netip.AddrPort
	own            func() State
	logger         log.Logger
	sent, received metrics.Counter

	mu sync.Mutex
	members
	// named tells when a member was reported last.
	named map[netip.AddrPort]time.Time
	// chosenSince is when this node became an aggregator, zero if it is none.
	chosenSince time.Time
	// latest is the newest state of this node.
	latest *State

	view  atomic.Pointer[View]
	count uint64
	boot  int64
}

// New returns a mesh that tells others what own returns.
func New(cfg Config, own func() State, logger log.Logger, registry metrics.Registry) *Mesh {
	m := &Mesh{cfg: cfg, key: Key(cfg.Node), own: own, logger: log.With(logger, "component", "mesh"),
		sent: metrics.GetOrRegisterCounter("mesh.sent_bytes", registry), received: metrics.GetOrRegisterCounter("mesh.received_bytes", registry),
		members: newMembers(), named: map[netip.AddrPort]time.Time{}, boot: time.Now().UnixMilli()}
	m.view.Store(emptyView())
	if parsed, err := netip.ParseAddrPort(cfg.Address); err == nil {
		m.address = parsed
	}
	for _, seed := range cfg.Seeds {
		m.Introduce(seed)
	}
	return m
}

// Boot identifies this process.
func (m *Mesh) Boot() int64 { return m.boot }

// Introduce adds the address of another node.
func (m *Mesh) Introduce(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.introduce(address)
}

// introduce adds an address; the caller holds the lock.
func (m *Mesh) introduce(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed == m.address {
		return
	}
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
		m.round(conn, time.Now())
		wait.For(ctx, m.interval())
	}
	return nil
}

// interval returns the time between two rounds. Above the number of nodes that tell
// all others, those of one failure domain tell its aggregators.
func (m *Mesh) interval() time.Duration {
	view := m.View()
	nodes := 1 + len(view.Live)
	if nodes > directNodes {
		own := m.ownDomain()
		nodes = 1
		for _, n := range view.Live {
			if n.FailureDomain == own {
				nodes++
			}
		}
	}
	return max(sendInterval, time.Duration(nodes)*intervalPerNode)
}

func (m *Mesh) ownDomain() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.latest == nil {
		return ""
	}
	return m.latest.Node.FailureDomain
}

// message is a datagram and those it goes to.
type message struct {
	data []byte
	to   []netip.AddrPort
}

// round tells the others what this node and, if it is an aggregator, its domain do.
func (m *Mesh) round(conn *net.UDPConn, now time.Time) {
	m.count++
	state := m.own()
	state.Node.Boot, state.Node.Count = m.boot, m.count
	messages := m.prepare(state, now)
	for _, message := range messages {
		if len(message.data) > maxDatagram {
			_ = level.Error(m.logger).Log("msg", "state too large for a datagram", "bytes", len(message.data))
			continue
		}
		for _, to := range message.to {
			// A lost datagram is made up for by the next one.
			if n, err := conn.WriteToUDPAddrPort(message.data, to); err == nil {
				m.sent.Inc(int64(n))
			}
		}
	}
}

func (m *Mesh) receive(conn *net.UDPConn) {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		m.received.Inc(int64(n))
		d, err := decode(buffer[:n])
		if err != nil {
			_ = level.Debug(m.logger).Log("msg", "unreadable datagram", "err", err)
			continue
		}
		now := time.Now()
		m.mu.Lock()
		if d.State != nil {
			m.acceptState(d.State, now)
		} else {
			m.acceptSummary(d.Summary, now)
		}
		m.mu.Unlock()
	}
}
