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

// Client connection settings. A connection that a partition has cut is closed
// after pingAfter plus pingTimeout without a frame, because TCP's own
// retransmission timers grow far beyond the failure detection times.
const (
	dialTimeout = 700 * time.Millisecond
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
)

// dialer makes clients for peer addresses over shared HTTP/2 connections.
type dialer struct {
	key       string
	transport *http.Transport
	options   []connect.ClientOption

	mu       sync.Mutex
	exchange map[string]peerpbconnect.PeerServiceClient
	// turns holds a token for each address with a request in progress.
	turns map[string]chan struct{}
}

// newDialer returns a dialer that calls from the IP address of local.
func newDialer(key, local string, counted *traffic) *dialer {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	netDialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: sourceAddress(local)}
	d := &dialer{key: key, exchange: map[string]peerpbconnect.PeerServiceClient{},
		turns: map[string]chan struct{}{}}
	d.transport = &http.Transport{
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := netDialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn, traffic: counted}, nil
		},
		IdleConnTimeout: idleTimeout / 2,
	}
	d.options = []connect.ClientOption{connect.WithInterceptors(connect.UnaryInterceptorFunc(d.authorize))}
	return d
}

// sourceAddress returns the IP address of an "IP:port" with any port, or nil.
func sourceAddress(local string) net.Addr {
	address, err := netip.ParseAddrPort(local)
	if err != nil {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(address.Addr(), 0))
}

// authorize adds the peer key to a call.
func (d *dialer) authorize(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		request.Header().Set("Authorization", "Bearer "+d.key)
		return next(ctx, request)
	}
}

// client returns the client for exchanges with an address.
func (d *dialer) client(address string) peerpbconnect.PeerServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	client, ok := d.exchange[address]
	if !ok {
		client = d.newClient(address, maxExchangeBytes)
		d.exchange[address] = client
	}
	return client
}

// acquire waits until no other request to an address is in progress.
func (d *dialer) acquire(ctx context.Context, address string) (release func(), err error) {
	d.mu.Lock()
	turn, ok := d.turns[address]
	if !ok {
		turn = make(chan struct{}, 1)
		d.turns[address] = turn
	}
	d.mu.Unlock()
	select {
	case turn <- struct{}{}:
		return func() { <-turn }, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for an exchange with %s: %w", address, ctx.Err())
	}
}

// forget drops the clients of addresses that are not in use.
func (d *dialer) forget(inUse map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address := range d.exchange {
		if !inUse[address] {
			delete(d.exchange, address)
		}
	}
	for address, turn := range d.turns {
		if !inUse[address] && len(turn) == 0 {
			delete(d.turns, address)
		}
	}
}

func (d *dialer) newClient(address string, limit int) peerpbconnect.PeerServiceClient {
	options := append([]connect.ClientOption{connect.WithReadMaxBytes(limit)}, d.options...)
	return peerpbconnect.NewPeerServiceClient(&http.Client{Transport: d.transport}, "http://"+address, options...)
}

// fetch reads a document from the node at an address.
func (d *dialer) fetch(ctx context.Context, address string, want DocumentVersion) (Document, error) {
	response, err := d.newClient(address, maxFetchBytes).FetchDocument(ctx,
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
