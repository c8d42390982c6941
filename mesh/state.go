package mesh

import (
	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/rattanlanding/rattanlanding/object"
)

// maxDatagram bounds a datagram in bytes; a larger one may be split on its way.
const maxDatagram = 1400

// State is what a node tells the others about itself.
type State struct {
	Node string `msgpack:"n"`
	// Boot is the start of the process in Unix milliseconds.
	Boot int64 `msgpack:"b"`
	// Count grows with each state of one boot.
	Count uint64 `msgpack:"c"`
	// CallerAddress and PeerAddress are "IP:port".
	CallerAddress string `msgpack:"a"`
	PeerAddress   string `msgpack:"p"`
	FailureDomain string `msgpack:"z"`
	// Serving nodes take requests; Leaving ones are about to stop.
	Serving bool `msgpack:"s"`
	Leaving bool `msgpack:"l"`
	// ConfigurationVersion and ListCursor tell which documents the node holds.
	ConfigurationVersion uint64         `msgpack:"v"`
	ListCursor           object.Version `msgpack:"r"`
	// Use maps instances, by the hash of their ID, to what the node does there.
	Use map[uint32]Use `msgpack:"q"`
	// Demand maps models to the places that the node's requests would occupy.
	Demand map[string]float32 `msgpack:"d"`
	// Waiting maps models to the node's requests that wait for a place.
	Waiting map[string]uint16 `msgpack:"w"`
	// Suspects are the instances that the node found silent.
	Suspects []string `msgpack:"x"`
	// Known are peer addresses of some other nodes.
	Known []string `msgpack:"k"`
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

// Key returns the hash under which the use of an instance is sent.
func Key(instance string) uint32 { return uint32(xxhash.Sum64String(instance)) }

// encode returns the datagram of a state. Addresses of other nodes are left out
// if they don't fit.
func encode(s *State) ([]byte, error) {
	data, err := msgpack.Marshal(s)
	if err == nil && len(data) > maxDatagram && len(s.Known) > 0 {
		short := *s
		short.Known = nil
		return msgpack.Marshal(&short)
	}
	return data, err
}

func decode(data []byte) (*State, error) {
	s := &State{}
	if err := msgpack.Unmarshal(data, s); err != nil {
		return nil, err
	}
	return s, nil
}
