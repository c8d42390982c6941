package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Defaults of Config.
const (
	// DefaultDialTimeout is far above a round trip within a region, and leaves
	// time for another backend server within a latency goal.
	DefaultDialTimeout = 250 * time.Millisecond
	// DefaultIdle is how long a connection is kept if its server states no time.
	DefaultIdle = 4 * time.Second
	// idleMargin is subtracted from the idle time that a server states, so that
	// no request crosses its close.
	idleMargin = time.Second
	readBuffer = 4 << 10
)

// ErrNoConnection means that a backend server has as many connections as it
// accepts from this node.
var ErrNoConnection = errors.New("connection limit of the backend server reached")

// Config configures a Pool. Zero durations take the defaults.
type Config struct {
	DialTimeout time.Duration
	Idle        time.Duration
}

// Pool keeps connections by address.
type Pool struct {
	dialer net.Dialer
	idle   time.Duration

	mu    sync.Mutex
	kept  map[string][]*Conn
	open  map[string]int
	dials uint64
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	return &Pool{
		dialer: net.Dialer{Timeout: cmp.Or(cfg.DialTimeout, DefaultDialTimeout), KeepAlive: -1},
		idle:   cmp.Or(cfg.Idle, DefaultIdle),
		kept:   map[string][]*Conn{}, open: map[string]int{},
	}
}

// Get returns a kept connection, or opens one. Fresh asks for a new one, for a
// request that must not meet a connection that its server is about to close. A
// limit above 0 bounds the connections to the address.
func (p *Pool) Get(ctx context.Context, address string, fresh bool, limit int) (*Conn, error) {
	if !fresh {
		if c := p.takeKept(address); c != nil {
			return c, nil
		}
	}
	if !p.reserve(address, limit) {
		return nil, ErrNoConnection
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.forget(address)
		return nil, err
	}
	c := &Conn{raw: raw, pool: p, address: address, idle: p.idle}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// takeKept returns the connection used last that is still sound, or nil.
func (p *Pool) takeKept(address string) *Conn {
	for {
		p.mu.Lock()
		list := p.kept[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.kept[address] = list[:len(list)-1]
		p.mu.Unlock()
		if time.Now().Before(c.keepUntil) && c.reader.Buffered() == 0 && c.quiet() {
			return c
		}
		c.Close()
	}
}

// reserve counts a new connection unless the limit is reached. A kept one makes
// room.
func (p *Pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	if limit > 0 && p.open[address] >= limit {
		list := p.kept[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return false
		}
		oldest := list[0]
		p.kept[address] = list[1:]
		p.mu.Unlock()
		oldest.Close()
		p.mu.Lock()
	}
	p.open[address]++
	p.dials++
	p.mu.Unlock()
	return true
}

func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

func (p *Pool) keep(c *Conn) {
	c.keepUntil = time.Now().Add(c.idle)
	p.mu.Lock()
	p.kept[c.address] = append(p.kept[c.address], c)
	p.mu.Unlock()
}

// Retain closes the kept connections to addresses that wanted refuses, and those
// that were idle for too long.
func (p *Pool) Retain(wanted func(address string) bool) {
	now := time.Now()
	var drop []*Conn
	p.mu.Lock()
	for address, list := range p.kept {
		good := list[:0]
		for _, c := range list {
			if wanted(address) && now.Before(c.keepUntil) {
				good = append(good, c)
			} else {
				drop = append(drop, c)
			}
		}
		if p.kept[address] = good; len(good) == 0 {
			delete(p.kept, address)
		}
	}
	p.mu.Unlock()
	for _, c := range drop {
		c.Close()
	}
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}
