package throttle

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server identifies one start of a backend server. A new start under the same ID has stated
// nothing yet.
type Server uint64

// ServerOf returns the identifier of a start of a backend server.
func ServerOf(id string, startedMs int64) Server {
	return Server(xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(id), uint64(startedMs))))
}

// Statement is what one response states about its server.
type Statement struct {
	// Limited is true if the server accepts a limited request rate.
	Limited bool
	// Rate is the number of requests per second that the server accepts from all nodes
	// together, if Limited.
	Rate float64
	// Leaving is true if the server is shutting down.
	Leaving bool
	// RetryAfter is how long the server wants no requests from this node; 0 for none.
	RetryAfter time.Duration
	// Incomplete is true if a value couldn't be decoded. The response then ends no limit.
	Incomplete bool
}

// Notice is what nodes tell each other about a server.
type Notice struct {
	Server Server `msgpack:"s"`
	// Limited is false if a later response stated no limit.
	Limited bool `msgpack:"l"`
	// Rate is the accepted number of requests per second.
	Rate float32 `msgpack:"r"`
	// AgeMs is the age of the statement in milliseconds.
	AgeMs uint32 `msgpack:"a"`
	// Leaving is true if the server is shutting down.
	Leaving bool `msgpack:"v"`
}

// MaxNotices is the number of notices in one message, so that it fits into a datagram.
const MaxNotices = 50

// MaxRate is the largest rate of a statement, in requests per second. It limits nothing.
const MaxRate = 1e6

// MaxRetryAfter is the longest time for which a server gets no requests.
const MaxRetryAfter = 10 * time.Minute

// valid reports whether the values of a notice are in range. NaN fails both comparisons.
func (n *Notice) valid() bool { return n.Rate >= 0 && n.Rate <= MaxRate }

// rate returns the rate as the decimal that the server stated. A plain conversion of 2.4
// would be 2.4000000953674316 in logs.
func (n *Notice) rate() float64 {
	// The text is a number, so there is no error.
	rate, _ := strconv.ParseFloat(strconv.FormatFloat(float64(n.Rate), 'g', -1, 32), 64)
	return rate
}

func (n *Notice) at(now time.Time) time.Time {
	return now.Add(-time.Duration(n.AgeMs) * time.Millisecond)
}
