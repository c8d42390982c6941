package claim

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
)

// PartitionCount is the number of partition objects. All nodes must agree on
// it, since two nodes that place one key differently could both claim it. Few
// partitions share more writes but hold more claims each: a write carries the
// whole partition, and two nodes that write one at once collide.
const PartitionCount = 512

// Key identifies a call that must not run twice. The organisation is part of
// it, so guessing another organisation's idempotency key reads nothing.
type Key struct {
	Organisation string
	Service      string
	Key          string
}

// Answer is the first answer to a call, as it is given to repeats.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Claims is what the request path needs of this package.
type Claims interface {
	// Begin makes a durable claim for a call whose method, path and body have
	// the given hash. Exactly one result is set: a Claim when the caller may
	// send the call once, an Answer when the call ran before, or a
	// *verdict.Error.
	Begin(ctx context.Context, key Key, hash string) (Claim, *Answer, error)
}

// Claim is the right to send a call once. Exactly one of its methods is called
// afterwards. Each keeps trying in the background when the platform is down;
// the error only tells that the state is not yet durable.
type Claim interface {
	// Answered stores the first answer for repeats.
	Answered(ctx context.Context, answer Answer) error
	// Released states that the call certainly did not run.
	Released(ctx context.Context) error
	// Unknown states that the call may have run.
	Unknown(ctx context.Context) error
}

// digest is the stored name of a key. Lengths are hashed too, so that no two
// keys share an encoding.
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

// locate returns the stored name of a key and its partition.
func (k Key) locate() (name string, partition int) {
	sum := k.digest()
	return hex.EncodeToString(sum[:16]), int(binary.BigEndian.Uint16(sum[30:])) % PartitionCount
}
