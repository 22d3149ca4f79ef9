package quicsession

import (
	"context"
	"expvar"
	"io"
	"sync"

	"github.com/quic-go/quic-go"
)

// The keys of the counters. The byte counts of messages include the frame headers.
const (
	keyBytesSent        = "bytes_sent"
	keyBytesReceived    = "bytes_received"
	keyMessagesSent     = "messages_sent"
	keyMessagesReceived = "messages_received"
	keyPacketsSent      = "packets_sent"
	keyPacketsReceived  = "packets_received"
)

// The traffic of all sessions of the process: the messages on control streams, the
// messages on attempt streams, and the packets of the connections. The byte counts of
// connections are those of whole QUIC packets without the UDP and IP headers.
var (
	controlTraffic    = newTraffic("peer_control")
	attemptTraffic    = newTraffic("peer_attempts")
	connectionTraffic = publishConnectionTotals("peer_connections")
)

// traffic counts the messages on one kind of stream, and their bytes.
type traffic struct {
	bytesSent, bytesReceived       expvar.Int
	messagesSent, messagesReceived expvar.Int
}

// newTraffic returns counters that are published under name.
func newTraffic(name string) *traffic {
	t := new(traffic)
	m := expvar.NewMap(name)
	m.Set(keyBytesSent, &t.bytesSent)
	m.Set(keyBytesReceived, &t.bytesReceived)
	m.Set(keyMessagesSent, &t.messagesSent)
	m.Set(keyMessagesReceived, &t.messagesReceived)
	return t
}

// countSent counts one message sent.
func (t *traffic) countSent(bytes int) {
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

// countReceived returns a reader that counts the bytes read from r as received.
func (t *traffic) countReceived(r io.Reader) io.Reader { return countingReader{r, &t.bytesReceived} }

// connectionTotals sums the statistics of connections, closed ones included. Those of
// an open connection are read only on request, so that packets cost nothing extra.
type connectionTotals struct {
	mu     sync.Mutex
	open   map[*quic.Conn]struct{}
	closed quic.ConnectionStats // sum over the closed connections
}

// publishConnectionTotals returns totals that are published under name.
func publishConnectionTotals(name string) *connectionTotals {
	c := &connectionTotals{open: make(map[*quic.Conn]struct{})}
	expvar.Publish(name, expvar.Func(func() any { return c.totals() }))
	return c
}

// track includes conn in the totals. When its context ends, its statistics move to the
// sum of the closed connections.
func (c *connectionTotals) track(conn *quic.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
	// AfterFunc needs no goroutine while the connection is open.
	context.AfterFunc(conn.Context(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if _, ok := c.open[conn]; ok {
			delete(c.open, conn)
			addStats(&c.closed, conn.ConnectionStats())
		}
	})
}

func (c *connectionTotals) totals() map[string]uint64 {
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
