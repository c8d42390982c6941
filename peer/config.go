package peer

import (
	"errors"
	"net"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// FullMeshMembers is the largest number of members at which every node asks
// every other in each round.
const FullMeshMembers = 16

// Defaults of Config.
const (
	DefaultExchangeInterval = time.Second
	DefaultCallTimeout      = 800 * time.Millisecond
	DefaultFetchTimeout     = 3 * time.Second
	DefaultBatchDelay       = 20 * time.Millisecond
	DefaultSuspectAfter     = 3 * time.Second
	DefaultDeadAfter        = 10 * time.Second
	DefaultEvidenceMaxAge   = 2500 * time.Millisecond
	DefaultGossipPeers      = 1
	DefaultDigestBytes      = 600
)

// Size limits of messages, in bytes. A document holds at most 1 MB.
const (
	maxExchangeBytes = 256 << 10
	maxFetchBytes    = 1_200_000
)

// Config describes a Node. Zero durations and counts mean the defaults.
type Config struct {
	// Self describes this node. PeerAddress is the address that others dial;
	// Boot must come from NewBoot.
	Self fleet.Member
	// ListenAddress is the "IP:port" of the listener; Self.PeerAddress by
	// default. Calls to peers are made from its IP address.
	ListenAddress string
	// Seeds are peer addresses ("IP:port") that are asked while no member is
	// known at them. This node's own address is ignored.
	Seeds []string
	// Key is the secret that all nodes share.
	Key string
	// Listener accepts peers; nil means a TCP listener on
	// ListenAddress.
	Listener net.Listener
	// ExchangeInterval is the time between rounds; 1 s by default.
	ExchangeInterval time.Duration
	// CallTimeout limits one exchange; 800 ms by default.
	CallTimeout time.Duration
	// FetchTimeout limits the fetch of a document; 3 s by default.
	FetchTimeout time.Duration
	// BatchDelay collects changes before an extra exchange; 20 ms by default.
	BatchDelay time.Duration
	// SuspectAfter is the silence after which a member is suspect; 3 s by
	// default.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a member is removed; 10 s by default.
	DeadAfter time.Duration
	// EvidenceMaxAge is the greatest age of evidence that is passed on; 2.5 s by
	// default.
	EvidenceMaxAge time.Duration
	// GossipPeers is the number of peers asked in a round above
	// FullMeshMembers besides the relay tree; 1 by default.
	GossipPeers int
	// DigestBytes bounds a response above FullMeshMembers; 600 by default.
	DigestBytes int
}

// withDefaults returns c with its zero fields set.
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
	orDefault(&c.DigestBytes, DefaultDigestBytes)
	return c
}

// orDefault sets a zero field.
func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// validate reports the first field that a Node cannot work with.
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
