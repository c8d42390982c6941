package mesh

import (
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/rattanlanding/rattanlanding/object"
)

// baseNode is a Node without methods. It is encoded as an array of its fields, whose number
// must not change: nodes of other builds would refuse it.
type baseNode Node

// extendedNode is the encoded form of a Node with fields that not all builds have. It is
// encoded as a map, in which builds skip the fields that they don't know.
type extendedNode struct {
	baseNode
	EvacuationCursor object.Version `msgpack:"e"`
	Stranded         bool           `msgpack:"u"`
}

var (
	_ msgpack.CustomEncoder = Node{}
	_ msgpack.CustomDecoder = (*Node)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (n Node) EncodeMsgpack(e *msgpack.Encoder) error {
	if n.EvacuationCursor == 0 && !n.Stranded {
		return e.Encode((*baseNode)(&n))
	}
	// Messages are encoded with this option, see marshal.
	e.UseArrayEncodedStructs(false)
	defer e.UseArrayEncodedStructs(true)
	return e.Encode(&extendedNode{baseNode(n), n.EvacuationCursor, n.Stranded})
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (n *Node) DecodeMsgpack(d *msgpack.Decoder) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	if msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32 {
		var extended extendedNode
		err := d.Decode(&extended)
		*n = Node(extended.baseNode)
		n.EvacuationCursor, n.Stranded = extended.EvacuationCursor, extended.Stranded
		return err
	}
	n.EvacuationCursor, n.Stranded = 0, false
	return d.Decode((*baseNode)(n))
}
