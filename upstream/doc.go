// Package upstream sends HTTP/1.1 requests to backend servers over a connection pool
// of its own. Unlike net/http it never sends a request twice, reports whether a request
// may have been sent, detects stalls below the read buffer, and closes a connection on
// which a backend server sent unsolicited bytes.
package upstream
