package peer

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// Names of the counters of control traffic, in bytes as seen by the TCP
// connections of this process.
const (
	MetricBytesSent     = "peer.bytes_sent"
	MetricBytesReceived = "peer.bytes_received"
)

// traffic counts control bytes.
type traffic struct {
	sent, received metrics.Counter
}

func newTraffic(registry metrics.Registry) *traffic {
	return &traffic{
		sent:     metrics.GetOrRegisterCounter(MetricBytesSent, registry),
		received: metrics.GetOrRegisterCounter(MetricBytesReceived, registry),
	}
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Inc(int64(n))
	return n, err
}

// countingListener wraps accepted connections.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, traffic: l.traffic}, nil
}
