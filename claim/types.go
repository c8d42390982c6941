package claim

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
)

// PartitionCount is the number of partition objects. It must be the same on all nodes,
// because two nodes that map one key to different partitions could both claim it. With
// fewer partitions, more claims share a write, but each partition holds more claims: a
// write carries the whole partition, and two nodes that write the same partition at the
// same time conflict.
const PartitionCount = 512

// Key identifies a call that must not run twice. The organisation is part of it, so an
// organisation that guesses the idempotency key of another one does not get its response.
type Key struct {
	Organisation string
	Service      string
	Key          string
}

// Response is the response of the first call, as repeats get it.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Claims is the interface by which requests make claims.
type Claims interface {
	// Begin makes a durable claim for a call whose method, path and body have the given
	// hash. Exactly one result is set: a Claim if the call may be sent once, a Response
	// if the call ran before, or a *verdict.Error.
	Begin(ctx context.Context, key Key, hash string) (Claim, *Response, error)
}

// Claim is the permission to send a call once. Exactly one of its methods is called
// afterwards. Each method stores a final state, and retries in the background if the
// platform is down; its error only means that the state is not durable yet.
type Claim interface {
	// Complete stores the response of the call for repeats.
	Complete(ctx context.Context, response Response) error
	// Release records that the call certainly did not run.
	Release(ctx context.Context) error
	// MarkUnknown records that the call may have run.
	MarkUnknown(ctx context.Context) error
}

// digest returns the hash from which the stored name and the partition of a key derive.
// The lengths of the parts are hashed too, so that no two keys have the same encoding.
func (k Key) digest() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{k.Organisation, k.Service, k.Key} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}

// locate returns the stored name of a key and the index of its partition.
func (k Key) locate() (name string, partition int) {
	sum := k.digest()
	return hex.EncodeToString(sum[:16]), int(binary.BigEndian.Uint16(sum[30:])) % PartitionCount
}
