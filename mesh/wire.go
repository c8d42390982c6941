package mesh

import (
	"bytes"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// maxDatagram limits a datagram in bytes; a larger one may be fragmented by the
// network.
const maxDatagram = 1400

// errEmptyDatagram means that a datagram contains neither a state nor a summary.
var errEmptyDatagram = errors.New("datagram contains neither a state nor a summary")

// Summary is the message of an aggregator. Aggregators of other domains receive the
// sum of the sender's domain; nodes that use the sender as an aggregator receive the
// sum of all other nodes.
type Summary struct {
	From Node `msgpack:"f"`
	// Total is true if the sum covers all domains, and false if it covers the sender's
	// domain only.
	Total bool `msgpack:"t"`
	Sum   *Sum `msgpack:"s"`
	// Members are a few of the nodes, recently changed ones first and the rest in
	// rotation.
	Members []Member `msgpack:"m"`
}

// Member is a node as listed in a summary.
type Member struct {
	Node Node `msgpack:"n"`
	// Gone is true if the node no longer sends its state.
	Gone bool `msgpack:"g"`
}

// datagram is the encoded form of a message; exactly one of its fields is set.
type datagram struct {
	State   *State   `msgpack:"s"`
	Summary *Summary `msgpack:"r"`
}

// marshal encodes a datagram without field names, which would take half of the space.
func marshal(d datagram) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(d)
	return buffer.Bytes(), err
}

// encodeState encodes a state. Addresses of other nodes are omitted if they don't fit
// into a datagram.
func encodeState(s *State) ([]byte, error) {
	data, err := marshal(datagram{State: s})
	if err == nil && len(data) > maxDatagram && len(s.KnownPeers) > 0 {
		short := *s
		short.KnownPeers = nil
		return marshal(datagram{State: &short})
	}
	return data, err
}

// encodeSummary encodes a summary with as many members as fit into a datagram, and
// returns their number.
func encodeSummary(summary Summary) (data []byte, members int, err error) {
	for {
		data, err := marshal(datagram{Summary: &summary})
		if err != nil || len(data) <= maxDatagram || len(summary.Members) == 0 {
			return data, len(summary.Members), err
		}
		excess := len(data) - maxDatagram
		summary.Members = summary.Members[:max(len(summary.Members)-1-excess/maxMemberBytes, 0)]
	}
}

// maxMemberBytes is an upper bound on the encoded size of a member.
const maxMemberBytes = 160

// decode decodes a datagram. It fails if that contains no message.
func decode(data []byte) (datagram, error) {
	var d datagram
	err := msgpack.Unmarshal(data, &d)
	if err == nil && d.State == nil && (d.Summary == nil || d.Summary.Sum == nil) {
		err = errEmptyDatagram
	}
	return d, err
}
