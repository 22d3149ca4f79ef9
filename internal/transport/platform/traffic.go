package platform

import (
	"expvar"
	"net"
	"time"
)

// calls counts the bytes of platform calls with their HTTP headers, by endpoint:
// "log/bytes_sent", "log/bytes_received", and the same for "instances" and
// "orders".
var calls = expvar.NewMap("platform_calls")

// traffic counts the bytes of the calls to one endpoint.
type traffic struct{ sent, received *expvar.Int }

// newTraffic returns the counters under the name. Endpoints of the same name
// share them.
func newTraffic(name string) traffic {
	return traffic{sent: counter(name + "/bytes_sent"), received: counter(name + "/bytes_received")}
}

func counter(key string) *expvar.Int {
	calls.Add(key, 0)
	return calls.Get(key).(*expvar.Int)
}

// dial opens a connection whose bytes are counted.
func (t traffic) dial(addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := dial(addr, timeout)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: t}, nil
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
