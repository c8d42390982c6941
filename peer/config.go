package peer

import (
	"errors"
	"net"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// FullMeshMembers is the largest number of members at which every node polls every
// other node in each round.
const FullMeshMembers = 16

// Defaults of Config.
const (
	// DefaultExchangeInterval is the time between rounds.
	DefaultExchangeInterval = time.Second
	// DefaultCallTimeout is the timeout of an exchange.
	DefaultCallTimeout = 800 * time.Millisecond
	// DefaultFetchTimeout is the timeout of a document fetch.
	DefaultFetchTimeout = 3 * time.Second
	// DefaultBatchDelay is the time for which changes are collected before an extra
	// round.
	DefaultBatchDelay = 20 * time.Millisecond
	// DefaultSuspectAfter is the time without a heartbeat after which a member is
	// suspect.
	DefaultSuspectAfter = 3 * time.Second
	// DefaultDeadAfter is the time without a heartbeat after which a member is
	// removed.
	DefaultDeadAfter = 10 * time.Second
	// DefaultEvidenceMaxAge is the greatest age at which evidence is passed on.
	DefaultEvidenceMaxAge = 2500 * time.Millisecond
	// DefaultGossipPeers is the number of random peers polled per round above
	// FullMeshMembers.
	DefaultGossipPeers = 1
	// DefaultGossipResponseBytes is the size limit of a gossip response, in bytes.
	DefaultGossipResponseBytes = 600
)

// Size limits of messages, in bytes.
const (
	// maxExchangeBytes limits the requests to a node and the responses of every call
	// except FetchDocument.
	maxExchangeBytes = 256 << 10
	// maxFetchBytes limits a fetched document with its envelope. A document has at
	// most 1 MB.
	maxFetchBytes = 1_200_000
)

// Config configures a Node. Zero durations and counts mean the defaults.
type Config struct {
	// Self describes this node. PeerAddress is the address that others dial;
	// Boot must come from NewBoot.
	Self fleet.Member
	// ListenAddress is the "IP:port" of the listener; Self.PeerAddress by
	// default. Calls to peers are made from its IP address.
	ListenAddress string
	// Seeds are peer addresses ("IP:port") that are polled as long as no known member
	// has that address. This node's own address is ignored.
	Seeds []string
	// Key is the secret shared by all nodes.
	Key string
	// Listener accepts connections from peers; nil means a TCP listener on
	// ListenAddress.
	Listener net.Listener
	// ExchangeInterval is the time between rounds; 1 s by default.
	ExchangeInterval time.Duration
	// CallTimeout is the timeout of an exchange; 800 ms by default.
	CallTimeout time.Duration
	// FetchTimeout is the timeout of a document fetch; 3 s by default.
	FetchTimeout time.Duration
	// BatchDelay is the time for which changes are collected before an extra round;
	// 20 ms by default.
	BatchDelay time.Duration
	// SuspectAfter is the time without a heartbeat after which a member is suspect;
	// 3 s by default.
	SuspectAfter time.Duration
	// DeadAfter is the time without a heartbeat after which a member is removed; 10 s
	// by default.
	DeadAfter time.Duration
	// EvidenceMaxAge is the greatest age at which evidence is passed on; 2.5 s by
	// default.
	EvidenceMaxAge time.Duration
	// GossipPeers is the number of random peers polled per round above
	// FullMeshMembers, in addition to the relay tree; 1 by default.
	GossipPeers int
	// GossipResponseBytes is the size limit of a response above FullMeshMembers unless
	// the full state was requested, in bytes; 600 by default.
	GossipResponseBytes int
}

// withDefaults returns a copy of c in which zero fields have their defaults.
func (c Config) withDefaults() Config {
	orDefault(&c.ListenAddress, c.Self.PeerAddress)
	orDefault(&c.ExchangeInterval, DefaultExchangeInterval)
	orDefault(&c.CallTimeout, DefaultCallTimeout)
	orDefault(&c.FetchTimeout, DefaultFetchTimeout)
	orDefault(&c.BatchDelay, DefaultBatchDelay)
	orDefault(&c.SuspectAfter, DefaultSuspectAfter)
	orDefault(&c.DeadAfter, DefaultDeadAfter)
	orDefault(&c.EvidenceMaxAge, DefaultEvidenceMaxAge)
	orDefault(&c.GossipPeers, DefaultGossipPeers)
	orDefault(&c.GossipResponseBytes, DefaultGossipResponseBytes)
	return c
}

// orDefault sets *field to value if it is zero.
func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// validate returns an error for the first required field that is missing or invalid.
func (c *Config) validate() error {
	switch {
	case c.Self.Node == "":
		return errors.New("peer: Self.Node is empty")
	case !validBoot(c.Self.Boot):
		return errors.New("peer: Self.Boot was not made by NewBoot")
	case c.Self.PeerAddress == "":
		return errors.New("peer: Self.PeerAddress is empty")
	case c.Key == "":
		return errors.New("peer: Key is empty")
	}
	return nil
}
