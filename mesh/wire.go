package mesh

import (
	"bytes"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// maxDatagram bounds a datagram in bytes; a larger one may be split on its way.
const maxDatagram = 1400

// errNoMessage means that a datagram holds none of the messages.
var errNoMessage = errors.New("datagram without a message")

// Summary is what an aggregator sends: to those of other domains the sum of its own
// domain, to a node of its domain the sum of all others.
type Summary struct {
	From Node `msgpack:"f"`
	// Total tells a sum over all domains from one of the sender's domain.
	Total bool `msgpack:"t"`
	Sum   *Sum `msgpack:"s"`
	// Members are a few of the nodes, in turn, changed ones first.
	Members []Member `msgpack:"m"`
}

// Member is a node as an aggregator knows it.
type Member struct {
	Node Node `msgpack:"n"`
	// Gone tells that the node isn't heard any more.
	Gone bool `msgpack:"g"`
}

// datagram holds one of the messages.
type datagram struct {
	State   *State   `msgpack:"s"`
	Summary *Summary `msgpack:"r"`
}

// marshal encodes without the names of fields, which would take half of the space.
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

// encodeState returns the datagram of a state. Addresses of other nodes are left
// out if they don't fit.
func encodeState(s *State) ([]byte, error) {
	data, err := marshal(datagram{State: s})
	if err == nil && len(data) > maxDatagram && len(s.Known) > 0 {
		short := *s
		short.Known = nil
		return marshal(datagram{State: &short})
	}
	return data, err
}

// encodeSummary returns the datagram of a report with as many members as fit, and
// their number.
func encodeSummary(r Summary) (data []byte, members int, err error) {
	for {
		data, err := marshal(datagram{Summary: &r})
		if err != nil || len(data) <= maxDatagram || len(r.Members) == 0 {
			return data, len(r.Members), err
		}
		over := len(data) - maxDatagram
		r.Members = r.Members[:max(len(r.Members)-1-over/maxMemberBytes, 0)]
	}
}

// maxMemberBytes is at least the size of a member in a datagram.
const maxMemberBytes = 160

func decode(data []byte) (datagram, error) {
	var d datagram
	err := msgpack.Unmarshal(data, &d)
	if err == nil && d.State == nil && (d.Summary == nil || d.Summary.Sum == nil) {
		err = errNoMessage
	}
	return d, err
}
