package peer

import (
	"context"
	"expvar"
	"io"
	"sync"

	"github.com/quic-go/quic-go"
)

// The keys of the counters. Bytes of messages include the frame header.
const (
	keyBytesSent        = "bytes_sent"
	keyBytesReceived    = "bytes_received"
	keyMessagesSent     = "messages_sent"
	keyMessagesReceived = "messages_received"
	keyPacketsSent      = "packets_sent"
	keyPacketsReceived  = "packets_received"
)

// Traffic of all sessions of the process. The messages are those of the control
// streams and of the attempt streams; the connections' bytes are QUIC packets
// with everything in them, without the headers of UDP and IP.
var (
	controlTraffic    = newTraffic("peer_control")
	attemptTraffic    = newTraffic("peer_attempts")
	connectionTraffic = publishConnections("peer_connections")
)

// traffic counts the messages of one kind of stream.
type traffic struct {
	bytesSent, bytesReceived       expvar.Int
	messagesSent, messagesReceived expvar.Int
}

func newTraffic(name string) *traffic {
	t := new(traffic)
	m := expvar.NewMap(name)
	m.Set(keyBytesSent, &t.bytesSent)
	m.Set(keyBytesReceived, &t.bytesReceived)
	m.Set(keyMessagesSent, &t.messagesSent)
	m.Set(keyMessagesReceived, &t.messagesReceived)
	return t
}

// sent counts one message.
func (t *traffic) sent(bytes int) {
	t.bytesSent.Add(int64(bytes))
	t.messagesSent.Add(1)
}

// countingReader counts the bytes read from a stream.
type countingReader struct {
	io.Reader
	bytes *expvar.Int
}

// Read implements io.Reader.
func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes.Add(int64(n))
	return n, err
}

// reader returns r with its bytes counted as received.
func (t *traffic) reader(r io.Reader) io.Reader { return countingReader{r, &t.bytesReceived} }

// connections sums the statistics of connections. They are read only when the
// sum is, so that packets cost nothing extra.
type connections struct {
	mu     sync.Mutex
	open   map[*quic.Conn]struct{}
	closed quic.ConnectionStats // sums over closed connections
}

func publishConnections(name string) *connections {
	c := &connections{open: make(map[*quic.Conn]struct{})}
	expvar.Publish(name, expvar.Func(func() any { return c.sum() }))
	return c
}

// track counts conn until its context ends.
func (c *connections) track(conn *quic.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
	// AfterFunc needs no goroutine while the connection lives.
	context.AfterFunc(conn.Context(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if _, ok := c.open[conn]; ok {
			delete(c.open, conn)
			addStats(&c.closed, conn.ConnectionStats())
		}
	})
}

func (c *connections) sum() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := c.closed
	for conn := range c.open {
		addStats(&total, conn.ConnectionStats())
	}
	return map[string]uint64{
		"open":             uint64(len(c.open)),
		keyBytesSent:       total.BytesSent,
		keyBytesReceived:   total.BytesReceived,
		keyPacketsSent:     total.PacketsSent,
		keyPacketsReceived: total.PacketsReceived,
	}
}

func addStats(sum *quic.ConnectionStats, s quic.ConnectionStats) {
	sum.BytesSent += s.BytesSent
	sum.BytesReceived += s.BytesReceived
	sum.PacketsSent += s.PacketsSent
	sum.PacketsReceived += s.PacketsReceived
}
