package peer

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// Names of the counters of control traffic, in bytes as seen by the TCP
// connections of this process.
const (
	// MetricBytesSent counts the bytes written to peers.
	MetricBytesSent = "peer.bytes_sent"
	// MetricBytesReceived counts the bytes read from peers.
	MetricBytesReceived = "peer.bytes_received"
)

// trafficCounters counts the bytes of control traffic.
type trafficCounters struct {
	sent, received metrics.Counter
}

func newTrafficCounters(registry metrics.Registry) *trafficCounters {
	return &trafficCounters{
		sent:     metrics.GetOrRegisterCounter(MetricBytesSent, registry),
		received: metrics.GetOrRegisterCounter(MetricBytesReceived, registry),
	}
}

// countingConn adds the bytes of a connection to the traffic counters.
type countingConn struct {
	net.Conn
	traffic *trafficCounters
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

// countingListener wraps every accepted connection in a countingConn.
type countingListener struct {
	net.Listener
	traffic *trafficCounters
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, traffic: l.traffic}, nil
}
