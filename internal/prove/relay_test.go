package prove

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to a target. Connections can be cut by source IP
// address, so that one link fails while others work.
type relay struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	cutSources map[string]bool
	cutAll     bool
	conns      map[net.Conn]string
}

// startRelay listens on address and forwards to target.
func startRelay(t *testing.T, address, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, cutSources: map[string]bool{}, conns: map[net.Conn]string{}}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

// accept forwards connections until the listener is closed.
func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
		if !r.register(conn, source) {
			_ = conn.Close()
			continue
		}
		go r.forward(conn, source)
	}
}

// register adds a connection to conns and reports whether it may be used. It
// rejects the connection if its source is cut.
func (r *relay) register(conn net.Conn, source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutAll || r.cutSources[source] {
		return false
	}
	r.conns[conn] = source
	return true
}

// forward copies data between conn and a new connection to the target until either
// one is closed.
func (r *relay) forward(conn net.Conn, source string) {
	defer r.drop(conn)
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	if !r.register(out, source) {
		_ = out.Close()
		return
	}
	defer r.drop(out)
	go func() {
		_, _ = io.Copy(out, conn)
		r.drop(out)
		r.drop(conn)
	}()
	_, _ = io.Copy(conn, out)
}

// drop closes a connection and removes it from conns.
func (r *relay) drop(conn net.Conn) {
	_ = conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// setCut cuts or restores the link from a source IP address; an empty source means
// all sources. Open connections of a cut link are closed.
func (r *relay) setCut(source string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if source == "" {
		r.cutAll = cut
	} else {
		r.cutSources[source] = cut
	}
	for conn, from := range r.conns {
		if cut && (source == "" || from == source) {
			_ = conn.Close()
		}
	}
}

// close stops listening and closes all connections.
func (r *relay) close() {
	_ = r.listener.Close()
	r.setCut("", true)
}
