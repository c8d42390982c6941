package mesh

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/suspicion"
)

// Node describes a node to the others.
type Node struct {
	Name string `msgpack:"n"`
	// Boot is the start of the process in Unix milliseconds.
	Boot int64 `msgpack:"b"`
	// Count numbers the states of one process in ascending order.
	Count uint64 `msgpack:"c"`
	// CallerAddress is the "IP:port" that callers use.
	CallerAddress string `msgpack:"a"`
	// PeerAddress is the "IP:port" that other nodes use.
	PeerAddress   string `msgpack:"p"`
	FailureDomain string `msgpack:"z"`
	// Capacity is the processor share in percent of a core.
	Capacity uint16 `msgpack:"y"`
	// Serving is true if the node is ready for requests.
	Serving bool `msgpack:"s"`
	// Leaving is true if the node is shutting down.
	Leaving bool `msgpack:"l"`
	// ConfigurationVersion is the version of the configuration that the node holds.
	ConfigurationVersion uint64 `msgpack:"v"`
	// ListCursor is the version of the instance list that the node holds.
	ListCursor object.Version `msgpack:"r"`
	// EvacuationCursor is the version of the evacuations that the node holds; 0 if it never
	// had any. It is encoded by extendedNode.
	EvacuationCursor object.Version `msgpack:"-"`
	// Stranded is true if the node has lost its links to most backend servers. It is encoded
	// by extendedNode.
	Stranded bool `msgpack:"-"`
}

// stateID identifies one state of a node.
type stateID struct {
	boot  int64
	count uint64
}

func (n *Node) stateID() stateID { return stateID{n.Boot, n.Count} }

// acceptsRequests reports whether the node is ready for requests and not shutting
// down.
func (n *Node) acceptsRequests() bool { return n.Serving && !n.Leaving }

// CanCarry reports whether the node can send requests of other nodes to backend servers.
func (n *Node) CanCarry() bool { return n.acceptsRequests() && !n.Stranded }

// supersedes reports whether n is newer than old, which has the same address. The
// clock may have been set back before a restart, so a process with an older start
// also counts as newer once the last update about the old one has expired.
func (n *Node) supersedes(old *Node, expired bool) bool {
	if n.Boot == old.Boot {
		return n.Count > old.Count
	}
	return n.Boot > old.Boot || expired
}

// State is the state that a node sends about itself.
type State struct {
	Node Node `msgpack:"n"`
	// Load maps instances, by Key, to the node's load on them.
	Load map[uint32]Load `msgpack:"q"`
	// Demand maps models to the slots that the node's requests would occupy, and arrival
	// keys (ArrivalKey) to the requests that arrive at the node per second.
	Demand map[string]float32 `msgpack:"d"`
	// Waiting maps models to the number of the node's requests that wait for a slot.
	Waiting map[string]uint16 `msgpack:"w"`
	// Suspects maps instances, by Key, to what the node has seen them fail and answer.
	Suspects map[uint32]suspicion.Report `msgpack:"x"`
	// KnownPeers are the peer addresses of some other nodes.
	KnownPeers []string `msgpack:"k"`
	// WantsSummary is true if the sender uses the receiver as an aggregator and
	// expects summaries from it.
	WantsSummary bool `msgpack:"?"`
	// Quarantine is what the node observed of what crashes engines, which is sent as
	// Observed.
	Quarantine quarantine.Reports `msgpack:"-"`
}

// Load is the load of one or several nodes on an instance: the number of requests in
// flight in the lower 15 bits, and progressBit.
type Load uint16

// progressBit is set if events arrive from the instance.
const progressBit Load = 1 << 15

// NewLoad returns a Load. The number of requests is capped at the largest one that
// fits.
func NewLoad(requests int, progress bool) Load {
	l := Load(min(requests, int(progressBit)-1))
	if progress {
		l |= progressBit
	}
	return l
}

// Requests returns the number of requests in flight.
func (l Load) Requests() int { return int(l &^ progressBit) }

// Progress reports whether an event arrived recently.
func (l Load) Progress() bool { return l&progressBit != 0 }

// Key returns the hash that is sent in place of the name of an instance or a node.
func Key(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
