package platformclient

import (
	"expvar"
	"net"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
)

// callBytes counts the bytes of calls with their HTTP headers, by endpoint:
// "log/bytes_sent", "log/bytes_received", and the same for "instances" and
// "orders".
var callBytes = expvar.NewMap("platform_calls")

// byteCounters counts the bytes of the calls to the endpoints of one name.
type byteCounters struct{ sent, received *expvar.Int }

// newByteCounters returns the counters under name. Endpoints of the same name share
// them.
func newByteCounters(name string) byteCounters {
	return byteCounters{sent: byteCounter(name + "/bytes_sent"), received: byteCounter(name + "/bytes_received")}
}

// byteCounter returns the counter under key in callBytes. It is created if missing.
func byteCounter(key string) *expvar.Int {
	callBytes.Add(key, 0)
	return callBytes.Get(key).(*expvar.Int)
}

// dial opens a connection whose bytes are counted.
func (c byteCounters) dial(addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := dial(addr, timeout)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, byteCounters: c}, nil
}

// countingConn is a connection whose bytes are counted, and the statuses of its responses checked.
type countingConn struct {
	net.Conn
	byteCounters
	status netconn.StatusReader // of the response that is read
}

// Read implements net.Conn. It fails from a status on that HTTP does not know.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	if serr := c.status.Read(p[:n]); serr != nil {
		return 0, serr
	}
	return n, err
}

// Write implements net.Conn. The HTTP library writes a request to its end before it reads the response.
func (c *countingConn) Write(p []byte) (int, error) {
	c.status = netconn.StatusReader{}
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
