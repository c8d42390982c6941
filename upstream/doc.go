// Package upstream sends HTTP/1.1 requests to backend servers over connections
// that it keeps itself. Unlike net/http it never sends a request twice, tells
// whether a byte of it left, watches for silence below the buffers, and drops a
// connection on which a backend server sent anything that nobody asked for.
package upstream
