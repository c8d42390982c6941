package prove

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to a target and can cut them by the source's
// IP address, so that one link fails while others work.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   map[string]bool
	all   bool
	conns map[net.Conn]string
}

// startRelay listens on address and forwards to target.
func startRelay(t *testing.T, address, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, cut: map[string]bool{}, conns: map[net.Conn]string{}}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
		if !r.admit(conn, source) {
			_ = conn.Close()
			continue
		}
		go r.forward(conn, source)
	}
}

// admit registers a connection unless its source is cut.
func (r *relay) admit(conn net.Conn, source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all || r.cut[source] {
		return false
	}
	r.conns[conn] = source
	return true
}

func (r *relay) forward(conn net.Conn, source string) {
	defer r.drop(conn)
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	if !r.admit(out, source) {
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

// drop closes a connection.
func (r *relay) drop(conn net.Conn) {
	_ = conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// setCut cuts or heals the link from a source IP address; an empty source means
// every source. Open connections of a cut link are closed.
func (r *relay) setCut(source string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if source == "" {
		r.all = cut
	} else {
		r.cut[source] = cut
	}
	for conn, from := range r.conns {
		if cut && (source == "" || from == source) {
			_ = conn.Close()
		}
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.setCut("", true)
}
