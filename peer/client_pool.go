package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanlanding/rattanlanding/peer/peerpb"
	"github.com/rattanlanding/rattanlanding/peer/peerpb/peerpbconnect"
)

// Client connection settings. A connection cut by a network partition is closed
// after pingInterval plus pingTimeout without a frame, because TCP's own
// retransmission timers grow far beyond the failure detection times.
const (
	// dialTimeout limits the time to establish a TCP connection.
	dialTimeout = 700 * time.Millisecond
	// pingInterval is the time without a frame after which a ping is sent.
	pingInterval = 2 * time.Second
	// pingTimeout is the time without a reply to a ping after which the connection is
	// closed.
	pingTimeout = time.Second
)

// clientPool creates and caches the clients of peer addresses. They share HTTP/2
// connections.
type clientPool struct {
	key       string
	transport *http.Transport
	options   []connect.ClientOption

	mu        sync.Mutex
	byAddress map[string]peerpbconnect.PeerServiceClient
	// slots maps addresses to semaphores of size 1 that are held during an exchange.
	slots map[string]chan struct{}
}

// newClientPool returns a pool whose connections use the IP address of localAddress as
// their source address.
func newClientPool(key, localAddress string, counters *trafficCounters) *clientPool {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	netDialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: sourceAddress(localAddress)}
	p := &clientPool{key: key, byAddress: map[string]peerpbconnect.PeerServiceClient{},
		slots: map[string]chan struct{}{}}
	p.transport = &http.Transport{
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := netDialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn, traffic: counters}, nil
		},
		IdleConnTimeout: idleTimeout / 2,
	}
	p.options = []connect.ClientOption{connect.WithInterceptors(connect.UnaryInterceptorFunc(p.authorize))}
	return p
}

// sourceAddress returns the IP address of an "IP:port" with port 0, which lets the
// system choose a port, or nil if localAddress is not of this form.
func sourceAddress(localAddress string) net.Addr {
	address, err := netip.ParseAddrPort(localAddress)
	if err != nil {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(address.Addr(), 0))
}

// authorize is an interceptor that adds the peer key to a request.
func (p *clientPool) authorize(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		request.Header().Set("Authorization", "Bearer "+p.key)
		return next(ctx, request)
	}
}

// client returns the client for all calls to an address except FetchDocument.
func (p *clientPool) client(address string) peerpbconnect.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	client, ok := p.byAddress[address]
	if !ok {
		client = p.newClient(address, maxExchangeBytes)
		p.byAddress[address] = client
	}
	return client
}

// acquire waits until no other exchange with an address is in flight. The caller calls
// release when its own exchange is done.
func (p *clientPool) acquire(ctx context.Context, address string) (release func(), err error) {
	p.mu.Lock()
	slot, ok := p.slots[address]
	if !ok {
		slot = make(chan struct{}, 1)
		p.slots[address] = slot
	}
	p.mu.Unlock()
	select {
	case slot <- struct{}{}:
		return func() { <-slot }, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the exchange in flight with %s: %w", address, ctx.Err())
	}
}

// prune drops the clients and semaphores of addresses that are not in use.
func (p *clientPool) prune(inUse map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.byAddress {
		if !inUse[address] {
			delete(p.byAddress, address)
		}
	}
	for address, slot := range p.slots {
		if !inUse[address] && len(slot) == 0 {
			delete(p.slots, address)
		}
	}
}

// newClient returns a new client that accepts responses of up to maxReadBytes bytes.
func (p *clientPool) newClient(address string, maxReadBytes int) peerpbconnect.PeerServiceClient {
	options := append([]connect.ClientOption{connect.WithReadMaxBytes(maxReadBytes)}, p.options...)
	return peerpbconnect.NewPeerServiceClient(&http.Client{Transport: p.transport}, "http://"+address, options...)
}

// fetch downloads a document of at least the wanted version from the node at an
// address.
func (p *clientPool) fetch(ctx context.Context, address string, want DocumentVersion) (Document, error) {
	response, err := p.newClient(address, maxFetchBytes).FetchDocument(ctx,
		connect.NewRequest(&peerpb.FetchDocumentRequest{Name: want.Name, Version: want.Version}))
	if err != nil {
		return Document{}, fmt.Errorf("fetch %s version %d from %s: %w", want.Name, want.Version, address, err)
	}
	got := response.Msg
	if got.GetName() != want.Name || got.GetVersion() < want.Version {
		return Document{}, fmt.Errorf("fetch %s version %d from %s: got %s version %d",
			want.Name, want.Version, address, got.GetName(), got.GetVersion())
	}
	return Document{DocumentVersion{got.GetName(), got.GetVersion()}, got.GetBody()}, nil
}
