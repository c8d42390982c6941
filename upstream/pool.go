package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/resetconn"
)

// Defaults of Config and properties of connections.
const (
	// DefaultDialTimeout is far above a round trip within a region, and leaves
	// time to try another backend server within a latency goal.
	DefaultDialTimeout = 250 * time.Millisecond
	// DefaultIdleTimeout is how long an idle connection is kept if its server sends no
	// timeout.
	DefaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that a server sends, so that no
	// request is sent while the server closes the connection.
	idleMargin = time.Second
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4 << 10
)

// ErrNoConnection is returned if this node has as many connections to a backend server
// as it may have.
var ErrNoConnection = errors.New("this node's connection limit for the backend server is reached")

// Config configures a Pool. Zero durations take the defaults.
type Config struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if its server sends no timeout.
	IdleTimeout time.Duration
	// MaxConns is the number of connections from which idle ones are closed before others are
	// opened; 0 means no limit.
	MaxConns int
	// Dialled is called with the outcome of each connection that was opened or wasn't, unless
	// its request ended meanwhile; nil for nothing.
	Dialled func(address string, err error)
}

// Pool is a pool of connections by address.
type Pool struct {
	dialer      net.Dialer
	idleTimeout time.Duration
	maxConns    int
	dialled     func(address string, err error)

	mu        sync.Mutex
	idleConns map[string][]*Conn
	openCount map[string]int
	// total is the sum of openCount.
	total int
	dials uint64
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	return &Pool{
		dialer:      net.Dialer{Timeout: cmp.Or(cfg.DialTimeout, DefaultDialTimeout), KeepAlive: -1},
		idleTimeout: cmp.Or(cfg.IdleTimeout, DefaultIdleTimeout),
		maxConns:    cfg.MaxConns,
		dialled:     cfg.Dialled,
		idleConns:   map[string][]*Conn{}, openCount: map[string]int{},
	}
}

// Get returns an idle connection, or opens one. If fresh is true, it always opens one,
// for a request that must not be sent on a connection that its server is about to close.
// A limit above 0 bounds the number of connections to the address.
func (p *Pool) Get(ctx context.Context, address string, fresh bool, limit int) (*Conn, error) {
	if !fresh {
		if c := p.takeIdle(address); c != nil {
			return c, nil
		}
	}
	if !p.reserve(address, limit) {
		return nil, ErrNoConnection
	}
	return p.open(ctx, address)
}

// Warm opens a connection for later requests, which also shows whether that is possible.
func (p *Pool) Warm(ctx context.Context, address string) error {
	p.reserve(address, 0)
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	p.putIdle(c)
	return nil
}

// open opens a connection that was counted.
func (p *Pool) open(ctx context.Context, address string) (*Conn, error) {
	raw, err := p.dial(ctx, address)
	if err != nil {
		p.release(address)
		return nil, err
	}
	c := &Conn{raw: resetconn.New(raw), pool: p, address: address, idleTimeout: p.idleTimeout}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if p.dialled != nil && (err == nil || ctx.Err() == nil) {
		p.dialled(address, err)
	}
	return raw, err
}

// Refused reports whether no process accepts connections at an address.
func (p *Pool) Refused(ctx context.Context, address string) bool {
	raw, err := p.dial(ctx, address)
	if err == nil {
		_ = raw.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// silentDials is the number of dials without an answer from which an address counts as
// silent. One packet may be lost.
const silentDials = 2

// Silent reports whether nothing answers at an address: its host has failed or can't be
// reached. A process that only stands still is not silent, as its kernel answers.
func (p *Pool) Silent(ctx context.Context, address string) bool {
	for range silentDials {
		raw, err := p.dial(ctx, address)
		if err == nil {
			_ = raw.Close()
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			return false
		}
	}
	return true
}

// takeIdle returns the most recently used idle connection that is still usable, or nil.
func (p *Pool) takeIdle(address string) *Conn {
	for {
		p.mu.Lock()
		list := p.idleConns[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idleConns[address] = list[:len(list)-1]
		p.mu.Unlock()
		if time.Now().Before(c.idleUntil) && c.reader.Buffered() == 0 && c.isQuiet() {
			return c
		}
		c.Close()
	}
}

// reserve counts a new connection and reports whether the limit permits it. If the limit
// is reached, it closes an idle connection to make room.
func (p *Pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	if limit > 0 && p.openCount[address] >= limit {
		list := p.idleConns[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return false
		}
		oldest := list[0]
		p.idleConns[address] = list[1:]
		p.mu.Unlock()
		oldest.Close()
		p.mu.Lock()
	}
	p.openCount[address]++
	p.total++
	p.dials++
	var surplus *Conn
	if p.maxConns > 0 && p.total > p.maxConns {
		surplus = p.takeAnyIdle()
	}
	p.mu.Unlock()
	if surplus != nil {
		surplus.Close()
	}
	return true
}

// takeAnyIdle removes an idle connection from the pool and returns it, or nil. The caller
// holds p.mu.
func (p *Pool) takeAnyIdle() *Conn {
	for address, list := range p.idleConns {
		if len(list) > 0 {
			p.idleConns[address] = list[1:]
			return list[0]
		}
	}
	return nil
}

// release removes a closed connection from the count.
func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total--
	if p.openCount[address]--; p.openCount[address] <= 0 {
		delete(p.openCount, address)
	}
}

// putIdle returns a connection to the pool.
func (p *Pool) putIdle(c *Conn) {
	c.idleUntil = time.Now().Add(c.idleTimeout)
	p.mu.Lock()
	p.idleConns[c.address] = append(p.idleConns[c.address], c)
	p.mu.Unlock()
}

// CloseIdle closes the idle connections to addresses for which keep returns false, and
// those that were idle for too long.
func (p *Pool) CloseIdle(keep func(address string) bool) {
	now := time.Now()
	var expired []*Conn
	p.mu.Lock()
	for address, list := range p.idleConns {
		retained := list[:0]
		for _, c := range list {
			if keep(address) && now.Before(c.idleUntil) {
				retained = append(retained, c)
			} else {
				expired = append(expired, c)
			}
		}
		if p.idleConns[address] = retained; len(retained) == 0 {
			delete(p.idleConns, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}
