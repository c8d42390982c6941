package mesh

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rattanlanding/rattanlanding/object"
)

// Node is what all nodes know of one.
type Node struct {
	Name string `msgpack:"n"`
	// Boot is the start of the process in Unix milliseconds.
	Boot int64 `msgpack:"b"`
	// Count grows with each state of one boot.
	Count uint64 `msgpack:"c"`
	// CallerAddress and PeerAddress are "IP:port".
	CallerAddress string `msgpack:"a"`
	PeerAddress   string `msgpack:"p"`
	FailureDomain string `msgpack:"z"`
	// Capacity is the processor share in percent of a core.
	Capacity uint16 `msgpack:"y"`
	// Serving nodes take requests; Leaving ones are about to stop.
	Serving bool `msgpack:"s"`
	Leaving bool `msgpack:"l"`
	// ConfigurationVersion and ListCursor tell which documents the node holds.
	ConfigurationVersion uint64         `msgpack:"v"`
	ListCursor           object.Version `msgpack:"r"`
}

// takesWork reports whether the node is counted among those that serve.
func (n *Node) takesWork() bool { return n.Serving && !n.Leaving }

// follows reports whether n is newer than what was known of the same address. The
// clock may have been set back before a restart, so another boot also counts as
// newer once the old one has been silent.
func (n *Node) follows(old *Node, silent bool) bool {
	if n.Boot == old.Boot {
		return n.Count > old.Count
	}
	return n.Boot > old.Boot || silent
}

// State is what a node tells about itself.
type State struct {
	Node Node `msgpack:"n"`
	// Use maps instances, by Key, to what the node does there.
	Use map[uint32]Use `msgpack:"q"`
	// Demand maps models to the places that the node's requests would occupy.
	Demand map[string]float32 `msgpack:"d"`
	// Waiting maps models to the node's requests that wait for a place.
	Waiting map[string]uint16 `msgpack:"w"`
	// Suspects are the instances, by Key, that the node found silent.
	Suspects []uint32 `msgpack:"x"`
	// Known are peer addresses of some other nodes.
	Known []string `msgpack:"k"`
	// Ask tells that the receiver is one of the sender's aggregators.
	Ask bool `msgpack:"?"`
}

// Use packs a number of requests and whether events arrive.
type Use uint16

// progressBit tells that events arrive.
const progressBit Use = 1 << 15

// NewUse returns the use of an instance.
func NewUse(requests int, progress bool) Use {
	u := Use(min(requests, int(progressBit)-1))
	if progress {
		u |= progressBit
	}
	return u
}

// Requests returns the number of requests.
func (u Use) Requests() int { return int(u &^ progressBit) }

// Progress reports whether an event arrived lately.
func (u Use) Progress() bool { return u&progressBit != 0 }

// Key returns the hash by which the name of an instance or a node is sent.
func Key(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
