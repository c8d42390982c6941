package memory

import (
	"cmp"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Kind is what memory is held for.
type Kind int

const (
	// Bodies are bodies of requests beyond FreeSize.
	Bodies Kind = iota
	// Responses are responses that are buffered until they are complete.
	Responses
	// Events are large heads and events of responses.
	Events
	// Heads are large heads of requests.
	Heads
	// Requests are requests in progress, with FreeSize bytes of body and of response.
	Requests
	// Connections are connections of callers and of other nodes to this one.
	Connections
	kinds
)

func (k Kind) String() string {
	return [kinds]string{"bodies", "responses", "events", "heads", "requests", "connections"}[k]
}

// parts are the largest parts of the process's memory that the kinds may take, in
// sixteenths. Together they exceed totalPart: a kind may use what others leave.
var parts = [kinds]int64{Bodies: 7, Responses: 2, Events: 1, Heads: 1, Requests: 4, Connections: 4}

const (
	wholePart = 16
	// totalPart is the part that Bodies and Responses leave to all kinds together, in
	// sixteenths. The rest is for the program, its own state and garbage.
	totalPart = 8
	// requestSize and connectionSize are the bytes that a request in progress and a
	// connection are counted with: stacks, buffers and a usual head.
	requestSize    = 32 << 10
	connectionSize = 16 << 10
)

const (
	// DefaultBytes is the memory of a process if none is given.
	DefaultBytes = 256 << 20
	// DefaultBodyStallTime is how long a body may go without a new block.
	DefaultBodyStallTime = 10 * time.Second
	// bodyStall and responseStall are the times without progress after which a body that is
	// received, or a response that is sent, may be given up while another one waits.
	bodyStall     = 500 * time.Millisecond
	responseStall = time.Second
	// unreadSize is the memory of the kernel for what was received from a caller that waits.
	unreadSize = 64 << 10
	// unreadPart divides the process's memory; the quotient limits the memory for that.
	unreadPart = 32
)

var (
	// ErrNoMemory means that there was no memory in time.
	ErrNoMemory = errors.New("no memory left for large bodies")
	// ErrRevoked means that memory was given up for the sake of others.
	ErrRevoked = errors.New("memory was given up because it didn't advance, or exceeded its share, while others waited")
)

// Config configures a Budget.
type Config struct {
	// Bytes is the memory that the process may use; 0 means DefaultBytes.
	Bytes int64
	// Registry gets the metrics; nil means none.
	Registry metrics.Registry
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Budget is the memory that a node may hold for others. It is safe for concurrent use.
type Budget struct {
	now        func() time.Time
	limits     [kinds]int64
	total      int64
	maxWaiters int
	metrics    budgetMetrics

	mu   sync.Mutex
	used [kinds]int64
	// expected are the expected bytes of the holds that have some.
	expected [kinds]int64
	// holds are those with memory that aren't revoked.
	holds map[*Hold]struct{}
	// parties are the organisations and addresses with holds, and their numbers by group.
	parties map[partyKey]*party
	groups  map[partyGroup]int64
	waiters []*waiter
	// revoked is the number of bytes of revoked holds that weren't released yet.
	revoked int64
	// started counts the holds, which gives their order.
	started uint64
}

// NewBudget returns a budget.
func NewBudget(cfg Config) *Budget {
	bytes := cmp.Or(cfg.Bytes, DefaultBytes)
	b := &Budget{now: cfg.Now, total: bytes / wholePart * totalPart, maxWaiters: max(int(bytes/unreadPart/unreadSize), 1),
		metrics: newBudgetMetrics(cfg.Registry),
		holds:   map[*Hold]struct{}{}, parties: map[partyKey]*party{}, groups: map[partyGroup]int64{}}
	if b.now == nil {
		b.now = time.Now
	}
	for k := range b.limits {
		b.limits[k] = bytes / wholePart * parts[k]
	}
	return b
}

// Limit returns the largest number of bytes that a kind may take.
func (b *Budget) Limit(kind Kind) int64 { return b.limits[kind] }

// MaxConnections returns the number of connections for which there is memory.
func (b *Budget) MaxConnections() int { return int(b.limits[Connections] / connectionSize) }

// Used returns the bytes that are held for a kind.
func (b *Budget) Used(kind Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[kind]
}

// BeginRequest counts a request in progress, or returns false if there are too many.
func (b *Budget) BeginRequest() bool { return b.Fixed(Requests).TryAcquire(requestSize) }

// EndRequest ends what BeginRequest has begun.
func (b *Budget) EndRequest() { b.Fixed(Requests).Release(requestSize) }

// BeginConnection counts a connection, whatever its number; MaxConnections is for the caller
// to keep.
func (b *Budget) BeginConnection() { b.add(Connections, connectionSize) }

// EndConnection ends what BeginConnection has begun.
func (b *Budget) EndConnection() { b.add(Connections, -connectionSize) }

// add counts bytes that are held in any case.
func (b *Budget) add(kind Kind, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[kind] += bytes
	if bytes < 0 {
		b.grant()
	}
}

// Fixed is the memory of one kind without an order among those who ask for it.
type Fixed struct {
	budget *Budget
	kind   Kind
}

// Fixed returns the memory of a kind.
func (b *Budget) Fixed(kind Kind) Fixed { return Fixed{b, kind} }

// TryAcquire takes bytes, or returns false if there are too few.
func (f Fixed) TryAcquire(bytes int64) bool {
	f.budget.mu.Lock()
	defer f.budget.mu.Unlock()
	if f.budget.used[f.kind]+bytes > f.budget.limits[f.kind] {
		f.budget.metrics.refused.Inc(1)
		return false
	}
	f.budget.used[f.kind] += bytes
	return true
}

// Release gives bytes back.
func (f Fixed) Release(bytes int64) { f.budget.add(f.kind, -bytes) }

// fits reports whether there are bytes left for a kind, and if not, whether only the kind
// itself has too few. The caller holds b.mu.
func (b *Budget) fits(kind Kind, bytes int64) (fits, ownLimit bool) {
	if b.used[kind]+bytes > b.limits[kind] {
		return false, true
	}
	used := bytes
	for _, n := range b.used {
		used += n
	}
	return used <= b.total, false
}
