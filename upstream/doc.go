// Package upstream sends HTTP/1.1 requests to backend servers over a connection pool
// of its own. Unlike net/http it never sends a request twice, separates errors before a
// request is sent (Pool.Get) from those after which it may have been sent (Conn.Do),
// detects stalls below the read buffer, and closes a connection on which a backend
// server sent unsolicited bytes.
package upstream
