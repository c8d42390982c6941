package mesh

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/rattanlanding/rattanlanding/internal/logsink"
	"github.com/rattanlanding/rattanlanding/internal/untrusted"
	"github.com/rattanlanding/rattanlanding/throttle"
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
	// observed is encoded as an observedDatagram.
	observed *Observed
	// notices are encoded after noticeHeader.
	notices []throttle.Notice
}

// observedDatagram is the encoded form of Observed. It has another number of fields than
// datagram, by which receivers distinguish them.
type observedDatagram struct {
	Observed *Observed `msgpack:"o"`
}

// observedDatagramHeader is the first byte of an encoded observedDatagram: an array of
// one element.
const observedDatagramHeader = 0x91

// Part identifies one of the parts of a summary that doesn't fit into a datagram.
type Part struct {
	Index uint8 `msgpack:"i"`
	Count uint8 `msgpack:"c"`
}

// partDatagram is the encoded form of a part of a summary. It has another number of
// fields than datagram, by which receivers distinguish them.
type partDatagram struct {
	State   *State   `msgpack:"s"`
	Summary *Summary `msgpack:"r"`
	Part    Part     `msgpack:"p"`
}

// partDatagramHeader is the first byte of an encoded partDatagram: an array of three
// elements.
const partDatagramHeader = 0x93

// marshal encodes a datagram without field names, which would take half of the space.
func marshal(d any) ([]byte, error) {
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
// returns their number. The sum of a very large deployment leaves no room for members or
// doesn't fit itself; it is then sent in several parts, each in a datagram of its own.
func encodeSummary(summary Summary) (parts [][]byte, members int, err error) {
	whole := summary
	for {
		data, err := marshal(datagram{Summary: &whole})
		if err != nil {
			return nil, 0, err
		}
		if len(data) <= maxDatagram && (len(whole.Members) > 0 || len(summary.Members) == 0) {
			return [][]byte{data}, len(whole.Members), nil
		}
		if len(whole.Members) == 0 {
			break
		}
		excess := len(data) - maxDatagram
		whole.Members = whole.Members[:max(len(whole.Members)-1-excess/maxMemberBytes, 0)]
	}
	for n := 2; n <= maxParts; n++ {
		if parts, err := encodeParts(summary, n); parts != nil || err != nil {
			return parts, len(summary.Members), err
		}
	}
	return nil, 0, errSummaryTooLarge
}

// maxParts is the largest number of datagrams for one summary.
const maxParts = 8

// errSummaryTooLarge means that a summary doesn't fit into maxParts datagrams.
var errSummaryTooLarge = errors.New("summary too large for its datagrams")

// encodeParts encodes a summary in n parts, the members in the last one. It returns nil
// if a part doesn't fit into a datagram.
func encodeParts(summary Summary, n int) ([][]byte, error) {
	var encoded [][]byte
	for i, sum := range summary.Sum.split(n) {
		part := Summary{From: summary.From, Total: summary.Total, Sum: sum}
		if i == n-1 {
			part.Members = summary.Members
		}
		data, err := marshal(partDatagram{Summary: &part, Part: Part{Index: uint8(i), Count: uint8(n)}})
		if err != nil || len(data) > maxDatagram {
			return nil, err
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}

// maxMemberBytes is an upper bound on the encoded size of a member.
const maxMemberBytes = 160

// decode decodes a datagram and, if it holds one of the parts of a summary, which one.
// It fails if the datagram contains no message.
func decode(data []byte) (datagram, Part, error) {
	if len(data) > 0 && data[0] == partDatagramHeader {
		var p partDatagram
		err := untrusted.Unmarshal(data, &p)
		d := datagram{Summary: p.Summary}
		if err == nil && (p.Summary == nil || p.Summary.Sum == nil || p.Part.Count > maxParts || p.Part.Index >= p.Part.Count) {
			err = errInvalidPart
		}
		if err == nil {
			err = d.validate()
		}
		return d, p.Part, err
	}
	if len(data) > 0 && data[0] == noticeHeader {
		notices, err := decodeNotices(data[1:])
		return datagram{notices: notices}, Part{Count: 1}, err
	}
	if len(data) > 0 && data[0] == observedDatagramHeader {
		o, err := decodeObserved(data)
		return datagram{observed: o}, Part{Count: 1}, err
	}
	var d datagram
	err := untrusted.Unmarshal(data, &d)
	if err == nil && d.State == nil && (d.Summary == nil || d.Summary.Sum == nil) {
		err = errEmptyDatagram
	}
	if err == nil {
		err = d.validate()
	}
	return d, Part{Count: 1}, err
}

// decodeObserved decodes and checks an observedDatagram.
func decodeObserved(data []byte) (*Observed, error) {
	var d observedDatagram
	if err := untrusted.Unmarshal(data, &d); err != nil {
		return nil, err
	}
	if d.Observed == nil || d.Observed.Scope >= scopeCount {
		return nil, errInvalidScope
	}
	return d.Observed, d.Observed.Observations.Validate()
}

// errInvalidScope means that a datagram contains no observations or an unknown scope.
var errInvalidScope = errors.New("datagram contains observations of an unknown scope")

// validate checks the values of which a wrong one would spoil sums for longer than the
// lifetime of the message.
func (d *datagram) validate() error {
	demand := map[string]float32(nil)
	var from *Node
	if d.State != nil {
		demand, from = d.State.Demand, &d.State.Node
	} else {
		demand, from = d.Summary.Sum.Demand, &d.Summary.From
		for domain, nodes := range d.Summary.Sum.Domains {
			if nodes > maxNodes {
				return fmt.Errorf("nodes of domain %q: %d exceed %d", logsink.Shorten(domain), nodes, maxNodes)
			}
		}
	}
	for model, slots := range demand {
		// NaN fails both comparisons.
		if !(slots >= 0 && slots <= maxDemand) {
			return fmt.Errorf("demand of model %q: %v is not between 0 and %d", logsink.Shorten(model), slots, maxDemand)
		}
	}
	return from.validate()
}

// validate checks what a message says about a node. A version that no later one exceeds
// would count as news for good.
func (n *Node) validate() error {
	for _, text := range []string{n.Name, n.FailureDomain, n.CallerAddress} {
		if len(text) > maxTextBytes {
			return fmt.Errorf("name, failure domain or address of a node: %d bytes exceed %d", len(text), maxTextBytes)
		}
	}
	if n.ConfigurationVersion > maxConfigurationVersion {
		return fmt.Errorf("configuration version of node %q: %d exceeds %d", n.Name, n.ConfigurationVersion, int64(maxConfigurationVersion))
	}
	return nil
}

// Limits of what a message says, far above those of any deployment.
const (
	// maxNodes is the largest number of nodes of a failure domain. Shares of rates are
	// divided by their sum.
	maxNodes                = 10_000
	maxTextBytes            = 256
	maxConfigurationVersion = 1 << 53
)

// maxDemand is the largest demand of a model, in slots, far above any deployment's.
const maxDemand = 10_000_000

// errInvalidPart means that a datagram's part has no sum or an index out of range.
var errInvalidPart = errors.New("datagram contains an invalid part of a summary")
