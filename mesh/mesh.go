package mesh

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/rattanlanding/rattanlanding/internal/wait"
)

// Intervals and limits of the exchange.
const (
	// sendInterval is the shortest time between two states of a node. It bounds the
	// age of the load that other nodes use, apart from the network delay.
	sendInterval = 100 * time.Millisecond
	// intervalPerNode is multiplied by the number of nodes that send to each other to
	// give the interval, so that none receives more than some 300 states a second.
	intervalPerNode = 3300 * time.Microsecond
	// receiveBackoff is the pause after a failed read from the socket.
	receiveBackoff = 100 * time.Millisecond
	// maxKnownPeers is the number of addresses of other nodes that a state contains.
	maxKnownPeers = 6
)

// Config configures a Mesh.
type Config struct {
	// Node is this node's name.
	Node string
	// Address is this node's "IP:port" for datagrams.
	Address string
	// Seeds are the addresses of the nodes to contact first.
	Seeds []string
}

// Mesh exchanges state with the other nodes.
type Mesh struct {
	cfg Config
	// key is the Key of this node's name.
	key                      uint32
	address                  netip.AddrPort
	localState               func() State
	notices                  Notices
	logger                   log.Logger
	sentBytes, receivedBytes metrics.Counter
	// rejected counts the datagrams that couldn't be processed.
	rejected metrics.Counter
	// rejectLimit limits the log lines about them.
	rejectLimit rate.Sometimes

	// mu guards the fields up to view.
	mu sync.Mutex
	members
	// reportedToDomains and reportedToNodes map members to the time when a summary for
	// the aggregators of other domains, and one for the nodes of this domain, last listed
	// them.
	reportedToDomains, reportedToNodes reportTimes
	// chosenSince is when this node became one of the first-ranked aggregators of its
	// domain; zero if it isn't one.
	chosenSince time.Time
	// latestState is this node's state of the current round.
	latestState *State

	// observedSentAt is when observations were last sent, by scope.
	observedSentAt [scopeCount]time.Time

	// count numbers the states of this process in ascending order.
	count uint64

	view atomic.Pointer[View]
	// boot is the start of this process in Unix milliseconds.
	boot int64
}

// New returns a Mesh that sends what localState and notices return to the other nodes.
// notices may be nil.
func New(cfg Config, localState func() State, notices Notices, logger log.Logger, registry metrics.Registry) *Mesh {
	m := &Mesh{cfg: cfg, key: Key(cfg.Node), localState: localState, notices: notices, logger: log.With(logger, "component", "mesh"),
		sentBytes: metrics.GetOrRegisterCounter("mesh.sent_bytes", registry), receivedBytes: metrics.GetOrRegisterCounter("mesh.received_bytes", registry),
		rejected: metrics.GetOrRegisterCounter("mesh.rejected_datagrams", registry), rejectLimit: rate.Sometimes{First: rejectLinesAtFirst, Interval: rejectLineInterval},
		members: newMembers(), reportedToDomains: reportTimes{}, reportedToNodes: reportTimes{}, boot: time.Now().UnixMilli()}
	m.view.Store(emptyView())
	if parsed, err := netip.ParseAddrPort(cfg.Address); err == nil {
		m.address = parsed
	}
	for _, seed := range cfg.Seeds {
		m.AddPeer(seed)
	}
	return m
}

// Boot returns the start of this process in Unix milliseconds, which distinguishes
// it from earlier processes of the same node.
func (m *Mesh) Boot() int64 { return m.boot }

// AddPeer adds the address of another node, "IP:port". Invalid addresses and this
// node's own are ignored.
func (m *Mesh) AddPeer(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addPeer(address)
}

// addPeer is AddPeer for callers that hold m.mu.
func (m *Mesh) addPeer(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed == m.address {
		return
	}
	if _, present := m.knownAddresses[parsed]; !present {
		m.knownAddresses[parsed] = time.Now()
	}
}

// Run exchanges states until ctx is cancelled. The address is released when it returns.
func (m *Mesh) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp4", m.cfg.Address)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	go m.receive(conn)
	for ctx.Err() == nil {
		m.round(conn, time.Now())
		wait.For(ctx, m.interval())
	}
	return nil
}

// interval returns the time between two rounds. It grows with the number of nodes
// that send to each other: all nodes up to maxDirectNodes, and those of this node's
// failure domain above.
func (m *Mesh) interval() time.Duration {
	view := m.View()
	nodes := 1 + len(view.Live)
	if nodes > maxDirectNodes {
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
	if m.latestState == nil {
		return ""
	}
	return m.latestState.Node.FailureDomain
}

// message is an encoded datagram and its recipients.
type message struct {
	data       []byte
	recipients []netip.AddrPort
}

// round sends this node's state and, if the node is an aggregator, its summaries.
func (m *Mesh) round(conn *net.UDPConn, now time.Time) {
	state := m.localState()
	state.Node.Boot, state.Node.Count = m.boot, m.nextCount()
	messages := m.prepare(state, now)
	for _, message := range messages {
		if len(message.data) > maxDatagram {
			_ = level.Error(m.logger).Log("msg", "mesh message not sent: larger than the datagram limit", "bytes", len(message.data))
			continue
		}
		for _, to := range message.recipients {
			// A lost datagram doesn't matter, since the next one holds the complete state.
			if n, err := conn.WriteToUDPAddrPort(message.data, to); err == nil {
				m.sentBytes.Inc(int64(n))
			}
		}
	}
}

func (m *Mesh) nextCount() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count++
	return m.count
}

func (m *Mesh) receive(conn *net.UDPConn) {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			_ = level.Warn(m.logger).Log("msg", "receiving a datagram failed", "err", err)
			time.Sleep(receiveBackoff)
			continue
		}
		m.receivedBytes.Inc(int64(n))
		m.accept(buffer[:n], from, time.Now())
	}
}

// accept decodes and records a datagram. One that can't be processed is dropped and
// counted: it must not end the process, whoever sent it.
func (m *Mesh) accept(data []byte, from netip.AddrPort, now time.Time) {
	defer func() {
		if r := recover(); r != nil {
			m.rejected.Inc(1)
			_ = level.Error(m.logger).Log("msg", "datagram dropped: processing it panicked", "from", from, "panic", r, "stack", string(debug.Stack()))
		}
	}()
	d, part, err := decode(data)
	if err != nil {
		m.reject("datagram dropped: decoding failed", from, err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.acceptDatagram(d, part, now)
}

// acceptDatagram records a decoded datagram. The caller holds m.mu.
func (m *Mesh) acceptDatagram(d datagram, part Part, now time.Time) {
	switch {
	case d.notices != nil:
		if m.notices != nil {
			m.notices.Absorb(d.notices)
		}
	case d.observed != nil:
		m.acceptObserved(d.observed, now)
	case d.State != nil:
		m.acceptState(d.State, now)
	case d.Summary != nil:
		m.acceptSummary(d.Summary, part, now)
	}
}
